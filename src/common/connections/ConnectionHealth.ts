import type * as types from '../Types';
import type * as connectionTypes from './Types';

export const DEFAULT_LIMITS: connectionTypes.IConnectionLimits = {
  maxAgeMs: 300_000,
  maxIdleMs: 30_000,
  freshnessMs: 2_000,
  // Below this, a server that is merely busy would lose its idle connections over and over.
  silenceMs: 500,
  // Servers have 3 or 4 slots; a request that waits in their queue is passed by far fewer.
  overtakenBy: 16,
};

interface IConnectionRecord {
  readonly openedMs: number;
  readonly expiresMs: number;
  completedMs: number;
  progressMs: number;
  exchangeStartMs: number | undefined;
  /** Exchanges that began after the current one of this connection, and completed before it. */
  overtaken: number;
  retired: boolean;
}

/**
 * Decides which connections to one backend server may carry what. Established connections can
 * stop responding for good while new ones work, so silence on one of them also casts doubt on the
 * others that are as old or older.
 */
export class ConnectionHealth {
  private readonly records = new Map<number, IConnectionRecord>();

  private nextNumber = 0;

  public constructor(
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
    private readonly limits: connectionTypes.IConnectionLimits = DEFAULT_LIMITS,
  ) {}

  /** Number of connections that are open. */
  public get size(): number {
    return this.records.size;
  }

  /** Records a new connection and returns its number. */
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
      retired: false,
    });
    return this.nextNumber;
  }

  /** Forgets a connection that was closed. */
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
    const record = this.records.get(connection);
    return record === undefined || !this.isUsable(record);
  }

  public recordStart(connection: number): void {
    const record = this.records.get(connection);
    if (record === undefined) return;
    record.exchangeStartMs = this.clock.monotonicMs();
    record.overtaken = 0;
  }

  /** Records that a byte of the answer arrived. */
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
    if (end === 'completed') this.recordCompletion(record, startMs);
    else record.retired = true;
    if (end === 'silent') this.retireStaleSiblings(record, startMs);
  }

  /** How an exchange that is given up now has ended. */
  public classifyAbandoned(connection: number): connectionTypes.ExchangeEnd {
    const record = this.records.get(connection);
    if (record?.exchangeStartMs === undefined) return 'failed';
    const silent = record.progressMs <= record.exchangeStartMs;
    const waitedMs = this.clock.monotonicMs() - record.exchangeStartMs;
    return silent && waitedMs >= this.limits.silenceMs ? 'silent' : 'failed';
  }

  /**
   * Connections whose exchange has received nothing while many later exchanges with the same
   * server were completed. Under overload all exchanges slow down together, so none is listed.
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

  /** Distrusts every connection, as after a pause of the process. */
  public retireAll(): void {
    this.records.forEach((record) => {
      record.retired = true;
    });
  }

  private isUsable(record: IConnectionRecord): boolean {
    if (record.retired) return false;
    const nowMs = this.clock.monotonicMs();
    const usedMs = Math.max(record.openedMs, record.completedMs);
    return nowMs < record.expiresMs && nowMs - usedMs < this.limits.maxIdleMs;
  }

  private recordCompletion(completed: IConnectionRecord, startMs: number): void {
    const nowMs = this.clock.monotonicMs();
    completed.completedMs = nowMs;
    completed.progressMs = nowMs;
    this.records.forEach((record) => {
      const isOvertaken = record.exchangeStartMs !== undefined && record.exchangeStartMs < startMs;
      if (isOvertaken) record.overtaken += 1;
    });
  }

  private retireStaleSiblings(silent: IConnectionRecord, sinceMs: number): void {
    this.records.forEach((record) => {
      const isAsOld = record.openedMs <= silent.openedMs;
      if (isAsOld && record.progressMs <= sinceMs) record.retired = true;
    });
  }
}
