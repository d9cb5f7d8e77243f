import type * as callTypes from '../../common/call/Types';
import type * as memoryTypes from '../../common/memory/Types';
import type * as policyTypes from '../../common/policy/Types';
import type * as types from '../../common/Types';
import type * as backendProtocol from './BackendProtocol';

/** A request to a backend server, and how its response is classified. */
export interface IExchangeRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  readonly idempotent: boolean;
  /** Whether it is a health check. */
  readonly isCheck: boolean;
  readonly maxAnswerBytes: number;
  /** Whether a response that only the close of its connection delimits is accepted. */
  readonly allowsCloseDelimitedBody: boolean;
  /** Opens the part of the daemon's budget that the answer takes. */
  reserveAnswer(onEvicted: () => void): memoryTypes.IReservation;
  /**
   * Records bytes of a large answer that were read. Returns undefined, or a pause in reading, at the
   * end of which `onEnd` is called.
   */
  pauseAfter(bytes: number, onEnd: () => void): types.IDisposable | undefined;
  /** Called with the status and the headers of a final response, before its body arrives. */
  onHead(status: number, headers: readonly string[]): void;
  /** @param isReused Whether the connection has carried an earlier exchange. */
  classify(
    status: number,
    headers: readonly string[],
    isReused: boolean,
  ): backendProtocol.ResponseClassification;
  readLoad(headers: readonly string[]): policyTypes.ILoadReport | undefined;
}

/** Receives the events of one exchange. */
export interface IExchangeListener {
  /** Returns whether the request may still be sent. Asked once its connection is open. */
  mayStart(): boolean;
  /** Called at most once, before the first byte may be sent. */
  onSent(): void;
  /** Called when a part of the response arrived. */
  onProgress(): void;
  onLoadReport(report: policyTypes.ILoadReport): void;
  /** Called exactly once, unless the exchange is aborted first. */
  onEnd(outcome: callTypes.AttemptOutcome): void;
}
