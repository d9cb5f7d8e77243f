import * as connectionHealth from '../../common/connections/ConnectionHealth';
import type * as connectionTypes from '../../common/connections/Types';
import type * as types from '../../common/Types';
import * as connections from './Connection';

/** Time after a response within which a closure counts as asked for by it, in milliseconds. */
const ASKED_CLOSE_MS = 50;

const NO_OBSERVER: connectionTypes.IConnectionObserver = {
  onOpened: () => undefined,
  onClosed: () => undefined,
};

/** Pool of connections to one backend server. Each carries one exchange at a time. */
export class ConnectionPool implements types.IDisposable {
  private readonly idle: connections.Connection[] = [];

  private readonly busy = new Map<
    number,
    { connection: connections.Connection; onSilent: () => void }
  >();

  private readonly health: connectionHealth.ConnectionHealth;

  public constructor(
    private readonly address: string,
    clock: types.IClock,
    random: types.IRandom,
    private readonly observer = NO_OBSERVER,
  ) {
    this.health = new connectionHealth.ConnectionHealth(clock, random);
  }

  /** Number of open connections, idle and busy. */
  public get size(): number {
    return this.idle.length + this.busy.size;
  }

  public get idleCount(): number {
    return this.idle.length;
  }

  /**
   * Returns the most recently used idle connection, or opens a new one.
   * @param purpose Whether it is for a health check or a request.
   * @param limit Maximum number of connections that this daemon may hold to the server.
   * @param onSilent Called if the exchange should be abandoned because its connection is silent.
   * @returns undefined if the limit is reached.
   */
  public acquire(
    purpose: 'check' | 'request',
    idempotent: boolean,
    limit: number,
    onSilent: () => void,
  ): connections.Connection | undefined {
    const reused = this.takeIdle(idempotent);
    // Closes the least recently used idle connection to make room, since none may carry this request.
    if (reused === undefined && this.size >= limit) this.discard(this.idle.shift(), 'limit');
    if (reused === undefined && this.size >= limit) return undefined;
    if (reused !== undefined) return this.checkOut(reused, onSilent);
    const otherReason = this.busy.size > 0 ? 'all-busy' : 'none-open';
    const reason = this.idle.length > 0 ? 'not-fresh' : otherReason;
    return this.checkOut(this.open(purpose, reason), onSilent);
  }

  /** Replaces a closed connection, or returns undefined if the limit is reached. */
  public acquireNew(
    purpose: 'check' | 'request',
    limit: number,
    onSilent: () => void,
  ): connections.Connection | undefined {
    if (this.size >= limit) return undefined;
    return this.checkOut(this.open(purpose, 'closed-on-reuse'), onSilent);
  }

  public recordProgress(connection: connections.Connection): void {
    this.health.recordProgress(connection.id);
  }

  /**
   * Returns a connection to the pool after a complete response.
   * @param end Whether it was the response to a request or to a health check.
   */
  public release(
    connection: connections.Connection,
    reusable: boolean,
    end: 'completed' | 'checked',
  ): void {
    this.health.recordEnd(connection.id, end);
    this.busy.delete(connection.id);
    const cause = reusable ? this.health.retirementOf(connection.id) : 'not-reusable';
    if (cause === undefined) this.idle.push(connection);
    else this.discard(connection, cause);
    this.health.overtaken().forEach((id) => this.busy.get(id)?.onSilent());
  }

  /** Closes a connection whose exchange was cancelled or failed. Returns how the exchange ended. */
  public abandon(connection: connections.Connection, failed: boolean): connectionTypes.ExchangeEnd {
    const end = failed ? 'failed' : this.health.classifyAbandoned(connection.id);
    this.health.recordEnd(connection.id, end);
    this.busy.delete(connection.id);
    const isSilent = end === 'silent';
    const otherCause = failed ? 'failed' : 'cancelled';
    const silentCause = connection.exchangeCount > 1 ? 'silent' : 'unanswered';
    this.discard(connection, isSilent ? silentCause : otherCause);
    if (end === 'silent') this.closeRetired();
    return end;
  }

  /** Closes idle connections that reached their maximum age or idle time, or were retired. */
  public closeRetired(): void {
    [...this.idle].forEach((connection) => {
      const cause = this.health.retirementOf(connection.id);
      if (cause !== undefined) this.discard(connection, cause);
    });
  }

  /** Closes idle connections immediately, and busy ones after their exchange. */
  public retireAll(): void {
    this.health.retireAll();
    this.closeRetired();
  }

  public dispose(): void {
    [...this.idle, ...[...this.busy.values()].map(({ connection }) => connection)].forEach(
      (connection) => this.discard(connection, 'disposed'),
    );
  }

  private takeIdle(idempotent: boolean): connections.Connection | undefined {
    this.closeRetired();
    const newest = this.idle.at(-1);
    if (newest === undefined || !this.health.canCarry(newest.id, idempotent)) return undefined;
    return this.idle.pop();
  }

  private checkOut(
    connection: connections.Connection,
    onSilent: () => void,
  ): connections.Connection {
    this.busy.set(connection.id, { connection, onSilent });
    this.health.recordStart(connection.id);
    return connection;
  }

  private open(
    purpose: 'check' | 'request',
    reason: connectionTypes.OpenReason,
  ): connections.Connection {
    this.observer.onOpened(purpose, reason);
    return new connections.Connection(this.address, this.health.add(), (closed) =>
      this.recordClosed(closed),
    );
  }

  private discard(
    connection: connections.Connection | undefined,
    cause: connectionTypes.CloseCause,
  ): void {
    if (connection === undefined) return;
    this.observer.onClosed(cause);
    this.remove(connection);
    connection.close();
  }

  private recordClosed(connection: connections.Connection): void {
    if (this.idle.includes(connection)) {
      const isAsked = this.health.hasCompletedWithin(connection.id, ASKED_CLOSE_MS);
      this.observer.onClosed(isAsked ? 'server-asked' : 'server-idle');
    }
    this.remove(connection);
  }

  private remove(connection: connections.Connection): void {
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
    // The record of a busy connection is removed when its exchange ends.
    if (!this.busy.has(connection.id)) this.health.remove(connection.id);
  }
}
