import type * as types from '../Types';

/** Share of the allowed rate that is used; the rest covers daemons that are not counted yet. */
const USED_FRACTION = 0.95;

/** Time for which questions that were not asked may be saved up, in seconds. */
const MAX_BURST_S = 10;

/** Saved share of the budget below which calls ask fewer servers. */
const SCARCE_FRACTION = 0.3;

/** The questions that this daemon may ask servers before dispatches, for all services together. */
export class CheckBudget {
  private permitsPerSecond = 0;

  private permits = 0;

  private refilledAtMs: number;

  public constructor(private readonly clock: types.IClock) {
    this.refilledAtMs = clock.monotonicMs();
  }

  /** Whether calls should ask few servers, so that every call can ask at least one. */
  public get isScarce(): boolean {
    this.refill();
    return this.permits < SCARCE_FRACTION * this.capacity;
  }

  /** Sets the rate at which the whole fleet may ask, and the daemons that share it. */
  public setRate(fleetPerSecond: number, daemons: number): void {
    this.refill();
    const isFirst = this.permitsPerSecond === 0;
    this.permitsPerSecond = (USED_FRACTION * fleetPerSecond) / daemons;
    this.permits = isFirst
      ? SCARCE_FRACTION * this.capacity
      : Math.min(this.permits, this.capacity);
  }

  /** Takes the permit for a question. Returns false if there is none. */
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
