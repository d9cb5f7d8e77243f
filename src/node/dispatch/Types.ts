import type * as callTypes from '../../common/call/Types';
import type * as policyTypes from '../../common/policy/Types';
import type * as backendProtocol from './BackendProtocol';

/** One request to a backend server, and how its answer is judged. */
export interface IExchangeRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Names and values, in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  readonly idempotent: boolean;
  readonly maxAnswerBytes: number;
  /** Whether an answer may have neither a length nor chunks, and end with its connection. */
  readonly allowsCloseDelimitedBody: boolean;
  classify(status: number, headers: readonly string[]): backendProtocol.ResponseClassification;
  readLoad(headers: readonly string[]): policyTypes.ILoadReport | undefined;
}

/** What one exchange reports. */
export interface IExchangeListener {
  /** The first byte may leave after this call. */
  onSent(): void;
  /** A part of the answer arrived. */
  onProgress(): void;
  onLoadReport(report: policyTypes.ILoadReport): void;
  /** Called exactly once, unless the exchange was aborted. */
  onEnd(outcome: callTypes.AttemptOutcome): void;
}
