import type * as callTypes from '../../common/call/Types';
import type * as tableTypes from '../../common/table/Types';

/** Stage in the life of a daemon. While `draining` it serves, but asks callers to move on. */
export type Phase = 'starting' | 'ready' | 'draining' | 'stopping';

/** What a caller gets when its request is not answered. */
export type Refusal = Exclude<callTypes.CallOutcome, { kind: 'answered' }>;

/** A refusal of a request that is certain to have run nowhere. */
export type NotRun = Extract<Refusal, { kind: 'not-run' }>;

/** The table that calls use. */
export interface IDaemonState {
  /** The table in force, or undefined before the first one. */
  readonly table: tableTypes.ITable | undefined;
  readonly phase: Phase;
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
  /** Version of the table that applied; 0 if there was none. */
  readonly tableVersion: number;
}

/** Learns what becomes of the requests of callers. */
export interface IRequestObserver {
  /** A request was accepted as a call. */
  onStarted(call: callTypes.ICall): void;
  /** A call was answered. `latencyMs` counts from the arrival of the headers. */
  onAnswered(call: callTypes.ICall, status: number, server: string, latencyMs: number): void;
  /** A request was refused, as a call or before it became one. */
  onRefused(record: IRefusalRecord, latencyMs: number): void;
}
