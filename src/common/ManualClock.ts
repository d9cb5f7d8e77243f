import type * as types from './Types';

interface PendingTimer {
  readonly dueMs: number;
  readonly order: number;
  readonly callback: () => void;
}

/** Clock that advances only on request, for tests and the virtual-time bench. */
export class ManualClock implements types.IClock {
  private readonly pending = new Set<PendingTimer>();

  private nowMs = 0;

  private timerCount = 0;

  public constructor(private readonly originWallMs = 0) {}

  public monotonicMs(): number {
    return this.nowMs;
  }

  public wallTime(): Date {
    return new Date(this.originWallMs + this.nowMs);
  }

  public setTimer(delayMs: number, callback: () => void): types.IDisposable {
    this.timerCount += 1;
    const timer = { dueMs: this.nowMs + Math.max(0, delayMs), order: this.timerCount, callback };
    this.pending.add(timer);
    return { dispose: () => this.pending.delete(timer) };
  }

  /** Advances time by `durationMs` and fires the timers that become due, in order. */
  public advance(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    let next = this.nextDueBy(endMs);
    while (next !== undefined) {
      this.pending.delete(next);
      this.nowMs = Math.max(this.nowMs, next.dueMs);
      next.callback();
      next = this.nextDueBy(endMs);
    }
    this.nowMs = endMs;
  }

  /** Advances time without firing timers that become due, as when a process is suspended. */
  public pause(durationMs: number): void {
    this.nowMs += durationMs;
  }

  private nextDueBy(endMs: number): PendingTimer | undefined {
    let earliest: PendingTimer | undefined;
    this.pending.forEach((timer) => {
      if (timer.dueMs > endMs) return;
      const isEarlier =
        earliest === undefined ||
        timer.dueMs < earliest.dueMs ||
        (timer.dueMs === earliest.dueMs && timer.order < earliest.order);
      if (isEarlier) earliest = timer;
    });
    return earliest;
  }
}
