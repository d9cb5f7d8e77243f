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

/** Interval in which a fault was active. */
export interface IFaultInterval {
  readonly kind: 'daemon-stop' | 'daemon-failure' | 'store' | 'server';
  /** Index of the daemon or the server; 0 for the store. */
  readonly componentIndex: number;
  readonly beginMs: number;
  endMs: number;
}

/** Summary of a soak run. The last seven fields must be 0. */
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
  readonly budgetOverruns: number;
}
