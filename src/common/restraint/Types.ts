/** Response in which a server states a signal: the answer to a request or to a health check. */
export type SignalSource = 'answer' | 'check';

/** What a backend server states about itself in a response. */
export interface IServerSignals {
  /**
   * Requests a second that the server takes from all daemons together. `unknown`: the response does
   * not tell, so that a limit which was named before stays.
   */
  readonly limit: number | 'none' | 'unknown';
  readonly isLeaving: boolean;
  /** Time for which the server wants no requests from this daemon, in milliseconds; 0 for none. */
  readonly pauseMs: number;
  /** Time for which the server stays cold, in milliseconds; undefined if it states none. */
  readonly coldMs?: number | undefined;
  /** Statements that cannot be used, as `name: value`. */
  readonly disregarded?: readonly string[] | undefined;
}

/**
 * From what it is known that a server is cold: its registration, its response, or the start of a
 * process whose registration does not tell.
 */
export type ColdSource = 'directory' | 'start' | SignalSource;

/** Bound on the requests to a cold server in any one second, from all daemons together. */
export interface IColdTerms {
  /** Factor on the requests a second that the server takes while it is cold. */
  readonly rateFactor: number;
  /** Requests beside these. */
  readonly rateAllowance: number;
}

/**
 * Why a server gets no new requests although it works. `returning`: the first request after a pause
 * is in progress. `cold`: this daemon may send no request to the cold server now.
 */
export type Restraint = 'leaving' | 'paused' | 'returning' | 'limited' | 'cold';

/** A backend server process. A later process at the same address is another one. */
export interface IServerProcess {
  readonly address: string;
  readonly instance?: string | undefined;
  /** Unix milliseconds. */
  readonly startedAtMs?: number | undefined;
}

/** A server process that may be cold. */
export interface IWarmingServer extends IServerProcess {
  /** Requests a second that it takes from all daemons together while it is cold, if limited. */
  readonly coldRequestsPerSecond?: number | undefined;
}

/** A server has become cold or warm, or is cold for longer than known before. */
export interface IColdChange {
  readonly server: IServerProcess;
  readonly source: ColdSource;
  /** Time until it is warm, in milliseconds; 0 if it is. */
  readonly coldMs: number;
  /** Requests a second that this daemon may send to it meanwhile. */
  readonly sharePerSecond: number;
}

/** Change of what a server states. */
export interface ISignalChange {
  readonly server: IServerProcess;
  readonly source: SignalSource;
  /** Identifier of the request that was answered; undefined for a health check. */
  readonly requestId: string | undefined;
  readonly signals: IServerSignals;
  /** Requests that this daemon sent to the server in the last 4 s, if they were counted. */
  readonly recentRequests: number;
  /** Requests a second that this daemon may send to the server, while it names a limit. */
  readonly sharePerSecond: number | undefined;
}

/** A server that gets no new requests, or that names a limit. */
export interface IRestrainedServer {
  readonly server: IServerProcess;
  readonly restraint: Restraint | undefined;
  /** Time until the end of the pause, in milliseconds; 0 for none. */
  readonly pauseMs: number;
  /** Requests a second that the server takes from all daemons together. */
  readonly limit: number | undefined;
  readonly sharePerSecond: number | undefined;
}

/** Daemons that share the limits which servers name. */
export interface IDaemonView {
  /** Peer address of this daemon. */
  readonly own: string;
  /** Peer addresses of the running daemons, this one included; undefined if not known yet. */
  readonly daemons: readonly string[] | undefined;
  /** Number of daemons to assume meanwhile. */
  readonly assumedCount: number;
}
