import type * as types from '../common/Types';

/** State that a backend server reports about itself. */
export type BackendState = 'ready' | 'draining' | 'starting';

/** Settings of a backend server stand-in. */
export interface IBackendOptions {
  /** Number of requests that run concurrently. */
  readonly slots: number;
  /** Mean service time, in milliseconds. Times are uniform between 0 and twice the mean. */
  readonly serviceMs: number;
  /** Maximum number of queued requests; further ones are shed. Default 1000. */
  readonly queueLimit?: number;
  /** Maximum number of open connections; further ones are closed. Default 250. */
  readonly maxConnections?: number;
  /** Warm-up time after `listen`, in milliseconds. Default 0. */
  readonly startingMs?: number;
  /** Factor on the service time during the warm-up. Default 5. */
  readonly startingFactor?: number;
}

/** Faults that can be changed while a backend server runs. */
export interface IBackendFaults {
  /** Factor on the service time. */
  slowFactor: number;
  /** Refuses every request at once, with or without the header `request-outcome: not-run`. */
  refuse: 'no' | 'not-run' | 'unmarked';
  /** Load report: the actual load, the load when the fault was set, zero load, or no header. */
  loadReport: 'true' | 'frozen' | 'idle' | 'absent';
  /** How answers are written. `early` answers before the request body has been read. */
  answer: 'complete' | 'truncated' | 'oversized' | 'early';
  /** Delay before a request is queued, in milliseconds. */
  delayMs: number;
}

/** A request that started to run. */
export interface IRun {
  /** Header `test-identity` of the request. */
  readonly identity: string;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedMs: number;
  /** Time since the server began to drain when the request arrived; undefined if not draining. */
  readonly drainingForMs: number | undefined;
}

/** Record of what a backend server received and ran. */
export interface IBackendRecord {
  readonly runs: readonly IRun[];
  /** Arrival times of probes on the monotonic clock, in milliseconds. */
  readonly probesMs: readonly number[];
  /** Requests refused with `request-outcome: not-run`. */
  readonly refused: number;
  /** Requests whose connection closed before the answer was sent. */
  readonly cancelled: number;
}

/** Clock and random number generator of a stand-in. */
export interface IStandInSources {
  readonly clock: types.IClock;
  readonly random: types.IRandom;
}
