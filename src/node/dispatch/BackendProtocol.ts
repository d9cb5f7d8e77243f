import type * as callTypes from '../../common/call/Types';
import type * as policyTypes from '../../common/policy/Types';
import type * as tableTypes from '../../common/table/Types';

/** What a complete answer of a backend server means. */
export type ResponseClassification =
  | { readonly kind: 'answer'; readonly isFailure?: boolean | undefined }
  /** The server states that it did not run the request. */
  | { readonly kind: 'refused'; readonly draining: boolean }
  /** It is no answer to this request, or not one that may be passed on. */
  | { readonly kind: 'invalid'; readonly detail: string };

/**
 * How requests to backend servers and their answers are written in HTTP headers. Header lists hold
 * names in lower case and values, in turn.
 */
export abstract class BackendProtocol {
  /**
   * Whether an answer may have neither a length nor chunks, and end with its connection. Such an
   * answer is complete if the server closed the connection in order.
   */
  public abstract readonly allowsCloseDelimitedBody: boolean;

  /** Headers of a request to `server`. */
  public abstract requestHeaders(
    call: callTypes.ICall,
    server: tableTypes.IServerRow,
    remainingMs: number,
  ): string[];

  /** Judges an answer to `call` that has arrived in full. */
  public abstract classifyResponse(
    call: Pick<callTypes.ICall, 'requestId'>,
    status: number,
    headers: readonly string[],
  ): ResponseClassification;

  /** Reads the load report that an answer carries, if any. */
  public abstract readLoad(headers: readonly string[]): policyTypes.ILoadReport | undefined;

  /** Judges the answer to a question for the health of `server`. */
  public abstract classifyCheckReply(
    server: tableTypes.IServerRow,
    status: number,
    headers: readonly string[],
  ): policyTypes.CheckReply;
}
