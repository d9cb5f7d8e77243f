import type * as callTypes from '../../common/call/Types';
import type * as policyTypes from '../../common/policy/Types';
import type * as restraintTypes from '../../common/restraint/Types';
import type * as tableTypes from '../../common/table/Types';

/** Classification of a complete response of a backend server. */
export type ResponseClassification =
  | { readonly kind: 'answer'; readonly isFailure?: boolean | undefined }
  /** The server states that it did not run the request. */
  | { readonly kind: 'refused'; readonly draining: boolean }
  /** The response does not belong to this request, or must not be forwarded. */
  | { readonly kind: 'invalid'; readonly detail: string };

/**
 * Defines the headers of requests to backend servers, and interprets the responses. Header lists
 * hold alternating names, in lower case, and values.
 */
export abstract class BackendProtocol {
  /**
   * Whether a response without a content length or chunked encoding is accepted. The close of its
   * connection delimits it, and it is complete if the server closed the connection gracefully.
   */
  public abstract readonly allowsCloseDelimitedBody: boolean;

  /** Returns the headers of a request to `server`. */
  public abstract requestHeaders(
    call: callTypes.ICall,
    server: tableTypes.IServerRow,
    remainingMs: number,
  ): string[];

  /**
   * Classifies a complete response to `call`.
   * @param isReused Whether the connection has carried an earlier exchange, so that the response may
   * be a second copy of an earlier one.
   */
  public abstract classifyResponse(
    call: Pick<callTypes.ICall, 'requestId'>,
    status: number,
    headers: readonly string[],
    isReused: boolean,
  ): ResponseClassification;

  /** Whether a response to a health check is certainly one to an earlier request. */
  public isForeignCheckReply(headers: readonly string[]): boolean;

  public isForeignCheckReply(): boolean {
    return false;
  }

  /** Returns the load report in the headers of a response, if any. */
  public abstract readLoad(headers: readonly string[]): policyTypes.ILoadReport | undefined;

  /**
   * Returns what `server` states about itself in the head of a response, or undefined if the
   * response is certainly not from that server. Servers state nothing by default.
   */
  public readSignals(
    server: tableTypes.IServerRow,
    status: number,
    headers: readonly string[],
  ): restraintTypes.IServerSignals | undefined;

  public readSignals(): undefined {
    return undefined;
  }

  /** Classifies the response of `server` to a health check. */
  public abstract classifyCheckReply(
    server: tableTypes.IServerRow,
    status: number,
    headers: readonly string[],
  ): policyTypes.CheckReply;
}
