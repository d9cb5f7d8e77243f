import type * as callTypes from '../../common/call/Types';

/** Exports metrics. Their names are listed in `Names.ts`. */
export interface IMetrics {
  increment(name: string, tags: readonly string[]): void;
  /** Records a duration in milliseconds. */
  timing(name: string, durationMs: number, tags: readonly string[]): void;
  gauge(name: string, value: number, tags?: readonly string[]): void;
  close(): Promise<void>;
}

/** Trace context of an attempt. */
export interface ITracedAttempt {
  /** The value of `traceparent` for the backend server. */
  readonly traceParent: string;
  end(result: string, attributes?: Readonly<Record<string, number>>): void;
}

/** Records spans of calls and attempts. */
export interface ITraces {
  startCall(call: callTypes.ICall): void;
  endCall(requestId: string, attributes: Readonly<Record<string, string | number>>): void;
  /** Returns undefined if the caller's headers are passed on without a new trace context. */
  startAttempt(requestId: string, server: string): ITracedAttempt | undefined;
  close(): Promise<void>;
}
