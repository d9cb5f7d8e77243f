import type * as tableTypes from '../table/Types';

/** A part of a route's requests, and the service that runs it. */
export interface IRouteTarget {
  readonly service: string;
  /** Share of the requests relative to the other targets of the route. */
  readonly weight: number;
}

/** What the operators publish for the requests of one host below one path. */
export interface IRoute {
  readonly name: string;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. The longest one that begins a path applies. */
  readonly prefix: string;
  /** At least one, with positive weights. */
  readonly targets: readonly IRouteTarget[];
  readonly idempotent: boolean;
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer is of full use, in milliseconds. */
  readonly objectiveMs: number;
  /** Servers that one request may be sent to in all. */
  readonly maxAttempts: number;
}

/** Bounds on what a caller may send. Sizes are in bytes. */
export interface ICallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time for the headers of a request, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Time for which an idle connection is kept, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** A service as the operators publish it. */
export interface IServiceTerms {
  readonly name: string;
  /** Path that a server answers with its health. */
  readonly healthPath: string;
  /** Connections that each server accepts from all daemons together. */
  readonly maxConnections: number;
}

/** A version of the operators' configuration. */
export interface IConfiguration {
  /** Grows with each version. */
  readonly version: number;
  readonly routes: readonly IRoute[];
  readonly services: readonly IServiceTerms[];
  readonly limits: ICallerLimits;
}

/** A route that applies to a request, and the target chosen for it. */
export interface IRouteMatch {
  readonly route: IRoute;
  /** Terms of the chosen service under this route. */
  readonly service: tableTypes.IServiceRow;
}

/** Finds the routes of requests. */
export interface IRouteTable {
  readonly configurationVersion: number;
  readonly limits: ICallerLimits;
  /**
   * Returns the route of a request and the service of one of its targets, or undefined if no route
   * applies. Each call of a split route advances the split.
   * @param host Value of the header `host`.
   * @param path Path without query.
   */
  match(host: string, path: string): IRouteMatch | undefined;
}
