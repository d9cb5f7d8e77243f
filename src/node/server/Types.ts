import type * as types from '../../common/Types';
import type * as callTypes from '../../common/call/Types';
import type * as tableTypes from '../../common/table/Types';

/** Lifecycle phase of a daemon. While `draining`, it serves but closes connections after use. */
export type Phase = 'starting' | 'ready' | 'draining' | 'stopping';

/** Outcome of a request that is not answered. */
export type Refusal = Exclude<callTypes.CallOutcome, { kind: 'answered' }>;

/** Refusal of a request that was certainly not run. */
export type NotRun = Extract<Refusal, { kind: 'not-run' }>;

/** Times of a graceful shutdown, in monotonic milliseconds. */
export interface IStopTimes {
  /** From then on a request is refused if its deadline is after `endMs`. */
  readonly lastOpenEndedMs: number;
  /** When requests that have no answer yet are ended. */
  readonly endMs: number;
}

/** State of the daemon that the handling of requests depends on. */
export interface IDaemonState {
  /** Active table, or undefined before the first one. */
  readonly table: tableTypes.ITable | undefined;
  readonly phase: Phase;
  /** Set during a graceful shutdown that ends at a certain time. */
  readonly stopTimes?: IStopTimes | undefined;
  /** Fires when the daemon has become ready. If undefined, requests do not wait for that. */
  readonly onReady?: types.Event<void>;
}

/** A refusal as it is logged, counted and listed for operators. */
export interface IRefusalRecord {
  readonly requestId: string;
  /** Name of the service, or an empty string if the request names none. */
  readonly service: string;
  readonly kind: callTypes.NotRunKind | callTypes.UnknownOutcomeKind;
  readonly outcome: Refusal['kind'];
  readonly detail: string;
  readonly dispatched: boolean;
  /** Time after which a server takes the request, in milliseconds, if it is known. */
  readonly retryAfterMs?: number | undefined;
  /** Version of the table that applied, or 0 if there was none. */
  readonly tableVersion: number;
  /** Version of the operators' configuration that applied, and the route in it, if there was one. */
  readonly configurationVersion?: number | undefined;
  readonly route?: string | undefined;
  /** Time by which the refusal came after the deadline of the request, in milliseconds. */
  readonly overdueMs?: number | undefined;
}

/** Observes the outcomes of the requests of callers. */
export interface IRequestObserver {
  /** Called when a request is accepted as a call. */
  onStarted(call: callTypes.ICall): void;
  /** Called when a call is answered. `latencyMs` counts from the arrival of the headers. */
  onAnswered(call: callTypes.ICall, status: number, server: string, latencyMs: number): void;
  /** Called when a request is refused, as a call or before it became one. */
  onRefused(record: IRefusalRecord, latencyMs: number): void;
}
