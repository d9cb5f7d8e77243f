import type * as types from '../common/Types';

/** State that a backend server reports about itself. */
export type BackendState = 'ready' | 'draining' | 'starting';

/** Settings of a backend server stand-in. */
export interface IBackendOptions {
  /** Requests that run at once. */
  readonly slots: number;
  /** Mean time to run a request, in milliseconds. Drawn uniformly from 0 to twice the mean. */
  readonly serviceMs: number;
  /** Requests that wait for a slot before further ones are shed. Default 1000. */
  readonly queueLimit?: number;
  /** Connections accepted at once; further ones are closed. Default 250. */
  readonly maxConnections?: number;
  /** Time after `listen` during which the server is cold, in milliseconds. Default 0. */
  readonly startingMs?: number;
  /** Factor on the service time while the server is cold. Default 5. */
  readonly startingFactor?: number;
}

/** Faults that can be switched while a backend server runs. */
export interface IBackendFaults {
  /** Factor on the service time. */
  slowFactor: number;
  /** Refuses every request at once, with or without the header that says it did not run. */
  refuse: 'no' | 'not-run' | 'unmarked';
  /** What the load report says: the truth, the last report, no load, or nothing. */
  loadReport: 'true' | 'frozen' | 'idle' | 'absent';
  /** How answers are written. `early` answers before the request body has been read. */
  answer: 'complete' | 'truncated' | 'oversized' | 'early';
  /** Delay before a request is queued, in milliseconds. */
  delayMs: number;
}

/** One start of a request. */
export interface IRun {
  /** Header `test-identity` of the request. */
  readonly identity: string;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedMs: number;
  /** Time since the server began to drain when the request arrived; undefined if not draining. */
  readonly drainingForMs: number | undefined;
}

/** What a backend server did, for tests to count. */
export interface IBackendRecord {
  readonly runs: readonly IRun[];
  /** Arrival times of probes on the monotonic clock, in milliseconds. */
  readonly probesMs: readonly number[];
  /** Requests refused with `request-outcome: not-run`. */
  readonly refused: number;
  /** Requests whose connection was closed before their answer. */
  readonly cancelled: number;
}

/** Sources of time and randomness of a stand-in. */
export interface IStandInSources {
  readonly clock: types.IClock;
  readonly random: types.IRandom;
}
