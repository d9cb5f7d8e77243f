import type * as http from 'node:http';

import type * as byteBudget from '../../common/memory/ByteBudget';
import type * as memoryTypes from '../../common/memory/Types';
import type * as types from '../../common/Types';

/** Memory of a connection without a request, in bytes: its socket, its parser and their buffers. */
const SOCKET_BYTES = 16 * 1024;

/** Memory of a request and its response until this was written, without bodies, in bytes. */
const REQUEST_BYTES = 8 * 1024;

/** Size, in bytes, up to which an answer counts as a part of its request. */
const UNCOUNTED_REPLY_BYTES = 4 * 1024;

/** Size, in bytes, from which an answer counts as a reply of the budget for bodies. */
const LARGE_REPLY_BYTES = 64 * 1024;

/** What one connection takes of the budget of its daemon, until it is closed. */
export class ConnectionCost {
  private readonly account: memoryTypes.IConnectionAccount;

  /** Large answers that are being written. */
  private readonly replies = new Set<types.IDisposable>();

  private smallReplyBytes = 0;

  private largeReplyBytes = 0;

  private heldBytes = 0;

  private requests = 0;

  /** @param evict Closes the connection, because it holds most and the budget is exhausted. */
  public constructor(
    private readonly budget: byteBudget.ByteBudget,
    evict: () => void,
  ) {
    const readWeight = () => this.weight;
    this.account = budget.holdConnection({
      get weight() {
        return readWeight();
      },
      evict,
    });
    this.update();
  }

  /** Number of requests whose response has not been written. */
  public get unwritten(): number {
    return this.requests;
  }

  /** Bytes of answers that have not been written, apart from small ones. */
  public get replyBytes(): number {
    return this.smallReplyBytes + this.largeReplyBytes;
  }

  /** Bytes that closing the connection would free. */
  public get weight(): number {
    return this.accountBytes + this.largeReplyBytes;
  }

  /** Sets the number of bytes that were read and not parsed. */
  public setHeld(bytes: number): void {
    if (bytes === this.heldBytes) return;
    this.heldBytes = bytes;
    this.update();
  }

  public addRequest(): void {
    this.requests += 1;
    this.update();
  }

  /** Must be called once the response to a request was written. */
  public removeRequest(): void {
    this.requests -= 1;
    this.update();
  }

  /** Counts an answer until it was written, or the connection was closed. */
  public holdReply(response: http.ServerResponse, bytes: number): void {
    if (bytes <= UNCOUNTED_REPLY_BYTES) return;
    if (bytes > LARGE_REPLY_BYTES) this.holdLarge(response, bytes);
    else {
      this.smallReplyBytes += bytes;
      response.once('close', () => {
        this.smallReplyBytes -= bytes;
        this.update();
      });
    }
    this.update();
  }

  public dispose(): void {
    this.replies.forEach((reply) => reply.dispose());
    this.account.dispose();
  }

  private get accountBytes(): number {
    return SOCKET_BYTES + this.heldBytes + this.requests * REQUEST_BYTES + this.smallReplyBytes;
  }

  private holdLarge(response: http.ServerResponse, bytes: number): void {
    const reply = this.budget.holdReply(bytes);
    this.replies.add(reply);
    this.largeReplyBytes += bytes;
    response.once('close', () => {
      this.replies.delete(reply);
      this.largeReplyBytes -= bytes;
      reply.dispose();
    });
  }

  private update(): void {
    this.account.set(this.accountBytes);
  }
}
