import type * as http from 'node:http';

import type * as callTypes from '../../common/call/Types';
import type * as tableTypes from '../../common/table/Types';
import type * as requestHead from './RequestHead';
import type * as serverTypes from './Types';

/** Status, headers and body of a response that the daemon makes itself. */
export interface ILocalReply {
  readonly status: number;
  /** Names and values, in turn. */
  readonly headers: readonly string[];
  readonly body: string;
}

/** How callers write requests and read responses. */
export abstract class CallerProtocol {
  /** Returns the identifier under which a request is logged. */
  public abstract requestIdOf(request: http.IncomingMessage): string;

  /** Checks the start line and the headers of a request against the table. */
  public abstract readHead(
    request: http.IncomingMessage,
    table: tableTypes.ITable,
  ): requestHead.IRequestHead | serverTypes.NotRun;

  /** The name of the service that a request is for, as far as its target tells. */
  public abstract serviceOf(request: http.IncomingMessage, table: tableTypes.ITable): string;

  /** The request key that a request carries, if the product issues keys in this protocol. */
  public abstract findKey(
    request: http.IncomingMessage,
    table: tableTypes.ITable | undefined,
  ): requestHead.IKeyUse | undefined;

  /** Headers of an answer that are passed on, without length and connection. */
  public abstract forwardedResponseHeaders(answer: callTypes.IAnswer): string[];

  /** Headers that the daemon adds to an answer. */
  public abstract addedHeaders(call: callTypes.ICall): string[];

  /** The response to a request that was refused, or whose outcome is unknown. */
  public abstract toLocalReply(record: serverTypes.IRefusalRecord): ILocalReply;
}
