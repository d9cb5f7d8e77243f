import type * as types from '../Types';
import type * as connectionTypes from './Types';

export const DEFAULT_LIMITS: connectionTypes.IConnectionLimits = {
  maxAgeMs: 300_000,
  maxIdleMs: 30_000,
  freshnessMs: 2_000,
  // A lower value would repeatedly retire the idle connections of a server that is only busy.
  silenceMs: 500,
  // Servers have 3 or 4 slots. A request that waits in their queue is overtaken by far fewer.
  overtakenBy: 16,
};

interface IConnectionRecord {
  readonly openedMs: number;
  readonly expiresMs: number;
  completedMs: number;
  progressMs: number;
  exchangeStartMs: number | undefined;
  /** Number of answered requests that were sent after the current one of this connection. */
  overtaken: number;
  retired: connectionTypes.CloseCause | undefined;
}

/**
 * Tracks the health of the connections to one backend server, and decides which requests each may
 * carry. Established connections can stop responding for good while new ones work, so silence on
 * one of them also retires others that are as old or older and made no progress since.
 */
export class ConnectionHealth {
  private readonly records = new Map<number, IConnectionRecord>();

  private nextNumber = 0;

  public constructor(
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
    private readonly limits: connectionTypes.IConnectionLimits = DEFAULT_LIMITS,
  ) {}

  /** Number of open connections. */
  public get size(): number {
    return this.records.size;
  }

  /** Adds a connection and returns its number. */
  public add(): number {
    const nowMs = this.clock.monotonicMs();
    this.nextNumber += 1;
    this.records.set(this.nextNumber, {
      openedMs: nowMs,
      expiresMs: nowMs + this.limits.maxAgeMs * (1 - 0.1 * this.random.next()),
      completedMs: Number.NEGATIVE_INFINITY,
      progressMs: nowMs,
      exchangeStartMs: undefined,
      overtaken: 0,
      retired: undefined,
    });
    return this.nextNumber;
  }

  /** Removes a closed connection. */
  public remove(connection: number): void {
    this.records.delete(connection);
  }

  /** Whether an idle connection may carry a request now. */
  public canCarry(connection: number, idempotent: boolean): boolean {
    const record = this.records.get(connection);
    if (record === undefined || !this.isUsable(record)) return false;
    const sinceCompletionMs = this.clock.monotonicMs() - record.completedMs;
    return idempotent || sinceCompletionMs <= this.limits.freshnessMs;
  }

  /** Whether an idle connection should be closed. */
  public isRetired(connection: number): boolean {
    return this.retirementOf(connection) !== undefined;
  }

  /** Returns why an idle connection should be closed, or undefined if it may be kept. */
  public retirementOf(connection: number): connectionTypes.CloseCause | undefined {
    const record = this.records.get(connection);
    return record === undefined ? 'failed' : this.retirement(record);
  }

  /** Whether the last exchange of an idle connection completed within the given time. */
  public hasCompletedWithin(connection: number, periodMs: number): boolean {
    const completedMs = this.records.get(connection)?.completedMs ?? Number.NEGATIVE_INFINITY;
    return this.clock.monotonicMs() - completedMs <= periodMs;
  }

  public recordStart(connection: number): void {
    const record = this.records.get(connection);
    if (record === undefined) return;
    record.exchangeStartMs = this.clock.monotonicMs();
    record.overtaken = 0;
  }

  /** Records the arrival of a byte of the answer. */
  public recordProgress(connection: number): void {
    const record = this.records.get(connection);
    if (record !== undefined) record.progressMs = this.clock.monotonicMs();
  }

  /** Records the end of an exchange. */
  public recordEnd(connection: number, end: connectionTypes.ExchangeEnd): void {
    const record = this.records.get(connection);
    if (record?.exchangeStartMs === undefined) return;
    const startMs = record.exchangeStartMs;
    record.exchangeStartMs = undefined;
    if (end === 'completed' || end === 'checked') this.recordCompletion(record);
    else record.retired = end;
    if (end === 'completed') this.recordOvertaken(startMs);
    if (end === 'silent') this.retireStaleSiblings(record, startMs);
  }

  /** Returns how the current exchange ends if it is abandoned now. */
  public classifyAbandoned(connection: number): connectionTypes.ExchangeEnd {
    const record = this.records.get(connection);
    if (record?.exchangeStartMs === undefined) return 'failed';
    const silent = record.progressMs <= record.exchangeStartMs;
    const waitedMs = this.clock.monotonicMs() - record.exchangeStartMs;
    return silent && waitedMs >= this.limits.silenceMs ? 'silent' : 'failed';
  }

  /**
   * Returns the connections whose exchange has received nothing while many later exchanges with the
   * server completed. Under overload all exchanges slow down together, so none is returned.
   */
  public overtaken(): readonly number[] {
    const nowMs = this.clock.monotonicMs();
    return [...this.records]
      .filter(([, { exchangeStartMs, overtaken, progressMs }]) => {
        if (exchangeStartMs === undefined || progressMs > exchangeStartMs) return false;
        const waitedMs = nowMs - exchangeStartMs;
        return overtaken >= this.limits.overtakenBy && waitedMs >= this.limits.silenceMs;
      })
      .map(([connection]) => connection);
  }

  /** Retires every connection, for example after a pause of the process. */
  public retireAll(): void {
    this.records.forEach((record) => {
      record.retired = 'paused';
    });
  }

  private isUsable(record: IConnectionRecord): boolean {
    return this.retirement(record) === undefined;
  }

  private retirement(record: IConnectionRecord): connectionTypes.CloseCause | undefined {
    if (record.retired !== undefined) return record.retired;
    const nowMs = this.clock.monotonicMs();
    if (nowMs >= record.expiresMs) return 'age';
    const usedMs = Math.max(record.openedMs, record.completedMs);
    return nowMs - usedMs >= this.limits.maxIdleMs ? 'idle' : undefined;
  }

  private recordCompletion(completed: IConnectionRecord): void {
    const record = completed;
    record.completedMs = this.clock.monotonicMs();
    record.progressMs = record.completedMs;
  }

  private recordOvertaken(startMs: number): void {
    this.records.forEach((record) => {
      const isOvertaken = record.exchangeStartMs !== undefined && record.exchangeStartMs < startMs;
      if (isOvertaken) record.overtaken += 1;
    });
  }

  private retireStaleSiblings(silent: IConnectionRecord, sinceMs: number): void {
    this.records.forEach((record) => {
      const isAsOld = record.openedMs <= silent.openedMs;
      if (isAsOld && record.progressMs <= sinceMs) record.retired = 'silent';
    });
  }
}
