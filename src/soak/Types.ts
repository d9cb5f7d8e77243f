/** Outcome of a call, as its caller saw it. */
export type CallOutcome = 'answered' | 'refused-not-run' | 'unknown' | 'wrong-answer';

/** One call of the soak. Times are on the monotonic clock of the soak, in milliseconds. */
export interface ICallRecord {
  readonly requestId: string;
  readonly service: string;
  readonly idempotent: boolean;
  /** Index of the daemon that was called. */
  readonly daemon: number;
  readonly startMs: number;
  endMs: number;
  end: CallOutcome;
  /** Status of the response; undefined if the connection ended without one. */
  status: number | undefined;
}

/** One run of a request at a backend server. */
export interface IRunRecord {
  readonly requestId: string;
  readonly service: string;
  readonly atMs: number;
  /** Time since the server's draining state was published; undefined if it was not draining. */
  readonly leavingForMs: number | undefined;
}

/** A request that reached a server, whether it ran or was refused. */
export interface IArrivalRecord {
  readonly requestId: string;
  /** Identifier of the server process. */
  readonly process: string;
  readonly atMs: number;
}

/** What a server process stated in its response to a request. */
export interface IStatementRecord extends IArrivalRecord {
  readonly kind: 'leaving' | 'pause';
  /** End of what was stated; infinite for leaving. */
  readonly untilMs: number;
}

/** Interval in which a server process named a limit. */
export interface ILimitInterval {
  readonly process: string;
  /** Requests a second from all daemons together. */
  readonly perSecond: number;
  readonly beginMs: number;
  endMs: number;
}

/** Interval in which a server process was cold. */
export interface IColdInterval {
  readonly process: string;
  readonly beginMs: number;
  readonly endMs: number;
}

/** Interval in which a fault was active. */
export interface IFaultInterval {
  readonly kind: 'daemon-stop' | 'daemon-failure' | 'store' | 'server' | 'network';
  /** Index of the daemon or the server; 0 for the store and the network. */
  readonly componentIndex: number;
  readonly beginMs: number;
  endMs: number;
}

/** End of a daemon process that was not asked for, or that was and failed. */
export interface IOwnEnd {
  readonly daemon: number;
  /** Exit code; undefined if a signal ended the process. */
  readonly code: number | undefined;
  readonly lastLines: readonly string[];
}

/** A version of the configuration, and when it was published. */
export interface IPublication {
  readonly version: number;
  readonly atMs: number;
}

/** Version that a daemon had when it was asked, or later. */
export interface IVersionSample {
  /** Index of the daemon. */
  readonly daemon: number;
  readonly version: number;
  /** Time at which it was asked. */
  readonly atMs: number;
}

/** Summary of a soak run. The last thirteen fields must be 0. */
export interface ISoakResult {
  readonly seed: number;
  readonly faults: number;
  readonly calls: number;
  readonly answered: number;
  readonly refusedNotRun: number;
  readonly outcomeUnknown: number;
  readonly wrongAnswers: number;
  readonly falseNotRun: number;
  readonly doubledRuns: number;
  readonly cutInFlight: number;
  readonly workOnLeaving: number;
  readonly tableReversions: number;
  /** Samples of daemons that had an older version of the configuration than they should have had. */
  readonly lateVersions: number;
  readonly budgetOverruns: number;
  /** Requests to servers that had stated to the same daemon that they leave. */
  readonly requestsToLeaving: number;
  /** Pauses that servers asked a daemon for, and in which they got more than two requests from it. */
  readonly disturbedPauses: number;
  /** Servers that got more requests than the limit that they named. */
  readonly limitOverruns: number;
  /** Cold servers that got more requests in a second than the bound allows. */
  readonly coldOverruns: number;
  /** Daemon processes that ended by themselves, or by a graceful stop with a failure. */
  readonly ownEnds: number;
}
