import type * as tableTypes from '../table/Types';

/** A service that receives a share of a route's requests. */
export interface IRouteTarget {
  readonly service: string;
  /** Share of the requests relative to the other targets of the route. */
  readonly weight: number;
}

/** Published rule for the requests of one host under one path prefix. */
export interface IRoute {
  readonly name: string;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Path prefix, with a leading and a trailing slash. The longest matching prefix applies. */
  readonly prefix: string;
  /** At least one target, with a positive total weight. */
  readonly targets: readonly IRouteTarget[];
  readonly idempotent: boolean;
  /** Whether answers are large, so that their transfer takes a part of the time. */
  readonly hasLargeAnswers?: boolean | undefined;
  /** Rank among the requests of a service: the lower, the more urgent. 0 is the most urgent. */
  readonly priority: number;
  /** Maximum time that a caller waits for the answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective: time within which an answer is fully useful, in milliseconds. */
  readonly objectiveMs: number;
  /** Maximum number of servers that a request is sent to, retries included. */
  readonly maxAttempts: number;
}

/** Limits for requests and connections of callers. Sizes are in bytes. */
export interface ICallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Timeout for receiving the headers of a request, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Keep-alive timeout of an idle connection, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** Published settings of a service. */
export interface IServiceTerms {
  readonly name: string;
  /** Path of the health endpoint of a server. */
  readonly healthPath: string;
  /** Maximum number of connections to each server from all daemons together. */
  readonly maxConnections: number;
  /** Requests a second that a cold server takes from all daemons together, if it is limited. */
  readonly coldRequestsPerSecond?: number | undefined;
}

/** One version of the operators' configuration. */
export interface IConfiguration {
  /** Increases with each version. */
  readonly version: number;
  readonly routes: readonly IRoute[];
  readonly services: readonly IServiceTerms[];
  readonly limits: ICallerLimits;
}

/** The route of a request and the target selected for it. */
export interface IRouteMatch {
  readonly route: IRoute;
  /** Settings of the selected service, with the overrides of the route. */
  readonly service: tableTypes.IServiceRow;
}

/** Matches requests to routes. */
export interface IRouteTable {
  readonly configurationVersion: number;
  readonly limits: ICallerLimits;
  /**
   * Returns the route of a request and the service of one of its targets, or undefined if no route
   * applies. Each match of a route with several targets advances its weighted round robin.
   * @param host Value of the `host` header.
   * @param path Path without query.
   */
  match(host: string, path: string): IRouteMatch | undefined;
  /** Returns the services that a request with this host and path may go to; none without a route. */
  servicesOf(host: string, path: string): readonly string[];
}
