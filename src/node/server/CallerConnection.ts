import type * as http from 'node:http';
import type * as net from 'node:net';

import type * as byteBudget from '../../common/memory/ByteBudget';
import type * as callerExchange from './CallerExchange';
import * as connectionCost from './ConnectionCost';
import * as connectionFeed from './ConnectionFeed';
import type * as connectionLimits from './ConnectionLimits';

/** Requests of one connection that are in progress at the same time. */
export const MAX_CONCURRENT_EXCHANGES = 8;

/** The same while answers wait for the caller to take them. */
const MAX_CONCURRENT_UNREAD = 2;

/** Requests of one connection whose response is not written, beyond which no more are read. */
export const MAX_WAITING_EXCHANGES = 16;

/** Bytes of answers that a caller has not taken, beyond which none of its requests begins. */
const MAX_UNREAD_BYTES = 256 * 1024;

/** All connections of a daemon. */
export interface IConnectionOwner {
  /** Called when the connection has a request again. */
  onBusy(connection: CallerConnection): void;
  /** Called when the connection has no request any more. */
  onIdle(connection: CallerConnection): void;
  /** Called when the daemon closes the connection because of a limit. */
  onEnded(connection: CallerConnection, cause: connectionLimits.ClosureCause): void;
}

/**
 * Requests that a caller has sent on one connection and that have no response yet, in the order in
 * which they arrived. An idempotent request starts before the earlier ones are answered. Any other
 * one waits: if the response to an earlier request closes the connection, the caller takes the later
 * requests as not read and sends them again.
 */
export class CallerConnection implements callerExchange.IExchangeOwner {
  private exchanges: callerExchange.CallerExchange[] = [];

  private readonly begun = new Set<callerExchange.CallerExchange>();

  /** Position of each request on the connection, in the order of arrival. */
  private readonly positions = new Map<callerExchange.CallerExchange, number>();

  private arrivals = 0;

  /** The request that was added last, until its response is written. */
  private last: callerExchange.CallerExchange | undefined;

  /** Position of the last request that has a response, which may wait for earlier ones. */
  private lastAnswered = 0;

  private isClosing = false;

  private isBeginning = false;

  /** Number of bytes that had been received when the connection last had no request. */
  private bytesWhenIdle = 0;

  /** IP address of the caller. */
  public readonly client: string | undefined;

  /** Passes what the caller sends on to the parser. */
  public readonly feed: connectionFeed.ConnectionFeed;

  private readonly cost: connectionCost.ConnectionCost;

  private isEnded = false;

  public constructor(
    private readonly socket: net.Socket,
    private readonly budget: byteBudget.ByteBudget,
    private readonly owner: IConnectionOwner,
  ) {
    this.client = socket.remoteAddress;
    const mayRead = () => this.mayRead;
    const isReadingBody = () => this.reading !== undefined;
    const gate = {
      get isOpen() {
        return mayRead();
      },
      get isReadingBody() {
        return isReadingBody();
      },
    };
    this.feed = new connectionFeed.ConnectionFeed(socket, gate, () => {
      this.cost.setHeld(this.feed.heldBytes);
    });
    this.cost = new connectionCost.ConnectionCost(budget, () => this.end('memory'));
  }

  /** Bytes that closing the connection would free. */
  public get weight(): number {
    return this.cost.weight;
  }

  /** Number of requests that have been read. */
  public get readCount(): number {
    return this.arrivals;
  }

  /** Number of requests without a response. */
  public get size(): number {
    return this.exchanges.length;
  }

  /** Whether a request has no response yet, or bytes of one still wait to be written. */
  public get hasResponsesDue(): boolean {
    return this.size > 0 || this.last !== undefined;
  }

  /** The request whose body is being read, if any. */
  public get reading(): callerExchange.CallerExchange | undefined {
    return this.exchanges.find((exchange) => exchange.isReading);
  }

  /** Whether a request after `exchange` has started, or already has its response. */
  public hasBegunAfter(exchange: callerExchange.CallerExchange): boolean {
    const position = this.positions.get(exchange) ?? 0;
    if (this.lastAnswered > position) return true;
    return [...this.begun].some((other) => (this.positions.get(other) ?? 0) > position);
  }

  /** Adds a request, and starts it if it need not wait. */
  public add(exchange: callerExchange.CallerExchange): void {
    if (this.isClosing) {
      exchange.discard();
      return;
    }
    this.exchanges.push(exchange);
    this.last = exchange;
    this.arrivals += 1;
    this.positions.set(exchange, this.arrivals);
    this.owner.onBusy(this);
    this.cost.addRequest();
    if (!this.isEnded) this.beginNext();
  }

  /** Removes a request that has ended, and starts those that waited for it. */
  public remove(exchange: callerExchange.CallerExchange): void {
    const position = this.exchanges.indexOf(exchange);
    if (position < 0) return;
    const { closesConnection } = exchange;
    const later = this.exchanges.slice(position + 1);
    this.exchanges.splice(position, 1);
    this.begun.delete(exchange);
    this.lastAnswered = Math.max(this.lastAnswered, this.positions.get(exchange) ?? 0);
    this.positions.delete(exchange);
    exchange.onceWritten(() => {
      if (this.last === exchange) this.last = undefined;
      this.cost.removeRequest();
      this.beginNext();
      this.feed.wake();
      if (!this.hasResponsesDue && !this.socket.destroyed) this.owner.onIdle(this);
    });
    if (this.size === 0) this.bytesWhenIdle = this.socket.bytesRead - this.feed.heldBytes;
    if (closesConnection) this.discard(later);
    else this.beginNext();
  }

  public holdReply(response: http.ServerResponse, bytes: number): void {
    this.cost.holdReply(response, bytes);
    // The cost counts the answer until the response closes, and a request may wait for that.
    response.once('close', () => {
      if (!this.socket.destroyed) this.beginNext();
    });
  }

  /** Closes the connection after the requests that have been read. */
  public closeAfterwards(): void {
    if (this.isClosing) return;
    this.isClosing = true;
    this.last?.closeAfterwards();
  }

  /** Runs no request that is read from now on, and answers none. */
  public rejectLater(): void {
    this.isClosing = true;
  }

  /** Bytes of responses that have not been handed to the operating system yet, small ones rounded. */
  public get unsentBytes(): number {
    return this.socket.writableLength + this.cost.replyBytes;
  }

  /**
   * Closes the connection once its responses are written, unless a request is being read or run. Before
   * the first request it stays open, since its caller is about to send one.
   */
  public closeIfIdle(): void {
    const isReadingHead = this.socket.bytesRead > this.bytesWhenIdle;
    if (this.size > 0 || this.arrivals === 0 || isReadingHead) return;
    if (this.last !== undefined) this.last.onceWritten(() => this.closeIfIdle());
    else if (this.socket.writableLength > 0) this.socket.once('drain', () => this.closeIfIdle());
    else this.socket.destroy();
  }

  /** Ends all requests with a response, in order, because the daemon stops. */
  public endForStop(): void {
    [...this.exchanges].forEach((exchange) => exchange.endForStop());
  }

  /** Closes the connection at once because of a limit. */
  public end(cause: connectionLimits.ClosureCause): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.owner.onEnded(this, cause);
    this.cost.dispose();
    this.socket.destroy();
  }

  /** Ends all requests because the caller closed the connection. */
  public abandon(): void {
    this.isClosing = true;
    this.cost.dispose();
    const { exchanges } = this;
    // An ended request would otherwise start the next one.
    this.exchanges = [];
    exchanges.forEach((exchange) => exchange.abandon());
  }

  private discard(later: readonly callerExchange.CallerExchange[]): void {
    this.isClosing = true;
    this.exchanges = this.exchanges.filter((exchange) => !later.includes(exchange));
    later.forEach((exchange) => exchange.discard());
    // Unread bytes would reset the connection when it closes, and its last response could be lost.
    this.feed.discard();
    // Earlier requests are answered before the connection closes.
    this.beginNext();
  }

  private beginNext(): void {
    // A request that is refused as it begins is removed at once, which must not begin the next one in
    // turn: many requests in one read would exhaust the stack.
    if (this.isBeginning) return;
    this.isBeginning = true;
    try {
      for (let next = this.findNext(); next !== undefined; next = this.findNext()) {
        this.begun.add(next);
        next.begin();
      }
    } finally {
      this.isBeginning = false;
    }
  }

  /** Returns the next request that need not wait, if there is one. */
  private findNext(): callerExchange.CallerExchange | undefined {
    if (this.cost.replyBytes > MAX_UNREAD_BYTES) return undefined;
    const next = this.exchanges.find((exchange) => !this.begun.has(exchange));
    if (next === undefined || next === this.exchanges[0]) return next;
    const { writableNeedDrain: isUnread } = this.socket;
    const room = isUnread ? MAX_CONCURRENT_UNREAD : MAX_CONCURRENT_EXCHANGES;
    return this.begun.size < room && next.mayRunAhead ? next : undefined;
  }

  /** Whether there is room for a further request. */
  private get mayRead(): boolean {
    const { unwritten } = this.cost;
    if (this.isClosing || unwritten >= MAX_WAITING_EXCHANGES) return false;
    return unwritten === 0 || !this.budget.isShort;
  }
}
