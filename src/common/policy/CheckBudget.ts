import type * as types from '../Types';

/** Fraction of the allowed rate that is used; the rest covers daemons not yet in the count. */
const USED_FRACTION = 0.95;

/** Maximum time over which unused permits accumulate, in seconds. */
const MAX_BURST_S = 10;

/** Fraction of the capacity below which calls check fewer servers. */
const SCARCE_FRACTION = 0.3;

/** Token bucket for this daemon's server checks before dispatches, shared by all services. */
export class CheckBudget {
  private permitsPerSecond = 0;

  private permits = 0;

  private refilledAtMs: number;

  public constructor(private readonly clock: types.IClock) {
    this.refilledAtMs = clock.monotonicMs();
  }

  /** Whether calls should check fewer servers, so that every call can check at least one. */
  public get isScarce(): boolean {
    this.refill();
    return this.permits < SCARCE_FRACTION * this.capacity;
  }

  /** Average time between two permits, in milliseconds; infinite before the rate is set. */
  public get intervalMs(): number {
    return 1_000 / this.permitsPerSecond;
  }

  /** Sets the rate limit of checks for the whole fleet, and the number of daemons that share it. */
  public setRate(fleetPerSecond: number, daemons: number): void {
    this.refill();
    const isFirst = this.permitsPerSecond === 0;
    this.permitsPerSecond = (USED_FRACTION * fleetPerSecond) / daemons;
    this.permits = isFirst
      ? SCARCE_FRACTION * this.capacity
      : Math.min(this.permits, this.capacity);
  }

  /** Takes a permit for one check. Returns false if none is available. */
  public take(): boolean {
    this.refill();
    if (this.permits < 1) return false;
    this.permits -= 1;
    return true;
  }

  private get capacity(): number {
    return MAX_BURST_S * this.permitsPerSecond;
  }

  private refill(): void {
    const nowMs = this.clock.monotonicMs();
    const earned = ((nowMs - this.refilledAtMs) / 1_000) * this.permitsPerSecond;
    this.permits = Math.min(this.capacity, this.permits + earned);
    this.refilledAtMs = nowMs;
  }
}
