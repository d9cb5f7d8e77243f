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
  /** Statements that cannot be used, as `name: value`. */
  readonly disregarded?: readonly string[] | undefined;
}

/**
 * Why a server gets no new requests although it works. `returning`: the first request after a pause
 * is in progress.
 */
export type Restraint = 'leaving' | 'paused' | 'returning' | 'limited';

/** A backend server process. A later process at the same address is another one. */
export interface IServerProcess {
  readonly address: string;
  readonly instance?: string | undefined;
  /** Unix milliseconds. */
  readonly startedAtMs?: number | undefined;
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
