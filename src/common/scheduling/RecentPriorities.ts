import type * as types from '../Types';

/** Time for which a kind counts after its last call, in milliseconds. */
const RECENT_MS = 10_000;

/** Observes which kinds of calls the service got lately. */
export class RecentPriorities {
  private lowest = 0;

  private seenAtMs = Number.NEGATIVE_INFINITY;

  public constructor(private readonly clock: types.IClock) {}

  /** Lowest priority value among the recent calls, which is that of the most urgent kind. */
  public get mostUrgent(): number {
    return this.lowest;
  }

  public record(priority: number): void {
    const nowMs = this.clock.monotonicMs();
    if (priority > this.lowest && nowMs - this.seenAtMs <= RECENT_MS) return;
    this.lowest = priority;
    this.seenAtMs = nowMs;
  }
}
