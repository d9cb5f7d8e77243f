import type * as routingTypes from '../routing/Types';

/**
 * Priority class of a service. At high load, a daemon refuses `leisure` calls first. Only `prompt`
 * calls are hedged.
 */
export type WorkClass = 'prompt' | 'leisure';

/** Whether callers must send a request key that a daemon has issued. */
export type RequestKeyRule = 'required' | 'none';

/** A service: one row of kind `service`. Durations are in milliseconds, sizes in bytes. */
export interface IServiceRow {
  readonly name: string;
  readonly workClass: WorkClass;
  /**
   * Whether a request may be run twice without harm. If not, it is never hedged, and retried only
   * if it was certainly not run.
   */
  readonly idempotent: boolean;
  readonly requestKey: RequestKeyRule;
  /** Default deadline of a call that sets none. */
  readonly deadlineMs: number;
  /** Probes per second that the whole fleet may send to the servers of this service. */
  readonly probesPerSecond: number;
  /** Hedge budget, as a fraction of first attempts. Hedges also count against the retry budget. */
  readonly hedgeFraction: number;
  /** Retry budget, as a fraction of first attempts. */
  readonly retryFraction: number;
  readonly maxRequestBytes: number;
  readonly maxAnswerBytes: number;
  /** Path of the health endpoint. Set only if servers are checked before dispatch. */
  readonly healthPath?: string | undefined;
  /** Whether all its calls have the same priority, so that none has to give way to another. */
  readonly hasOnePriority?: boolean | undefined;
}

/** A backend server: one row of kind `server`. */
export interface IServerRow {
  readonly service: string;
  /** IP address and port, as in `10.0.0.1:8080`. */
  readonly address: string;
  readonly failureDomain: string;
  /** Relative share of requests. A server with weight 0 is listed but gets no new requests. */
  readonly weight: number;
  /** Number of requests that the server runs concurrently. */
  readonly slots: number;
  /** Maximum number of connections to the server from all daemons together. */
  readonly maxConnections: number;
  /** Identifies the server process. Sent with requests, so that another process refuses them. */
  readonly instance?: string | undefined;
  /** Start of the server process in Unix milliseconds. A restarted server has lost its state. */
  readonly startedAtMs?: number | undefined;
  /** Requests a second that it takes from all daemons together while it is cold, if limited. */
  readonly coldRequestsPerSecond?: number | undefined;
}

/** Validated table. Immutable: a call uses the same table from start to end. */
export interface ITable {
  readonly version: number;
  /** Hash of the text, to distinguish tables with the same version. */
  readonly hash: string;
  /** Maximum number of daemons running at once, replacements included. */
  readonly maxDaemons: number;
  readonly services: ReadonlyMap<string, IServiceRow>;
  /** Servers by service name. Every service of `services` has an entry. */
  readonly servers: ReadonlyMap<string, readonly IServerRow[]>;
  /** The text as published. */
  readonly text: string;
  /** Routes by host and path. Set only if callers do not name the service themselves. */
  readonly routes?: routingTypes.IRouteTable | undefined;
}

/** A validation problem, located for a user who has the table open in a spreadsheet. */
export interface ITableProblem {
  /** Line of the text, 1-based. */
  readonly line: number;
  readonly column: string;
  readonly found: string;
  /** The accepted values, as a sentence fragment. */
  readonly accepted: string;
}

/** Outcome of offering a table. */
export type TableOfferResult =
  | { readonly kind: 'accepted'; readonly table: ITable }
  | { readonly kind: 'unchanged' }
  | { readonly kind: 'older'; readonly offeredVersion: number; readonly activeVersion: number }
  | { readonly kind: 'conflict'; readonly version: number; readonly offeredHash: string }
  | { readonly kind: 'invalid'; readonly problems: readonly ITableProblem[] };
