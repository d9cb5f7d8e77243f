import type * as types from '../Types';

/** Share of the allowed rate that is used; the rest covers daemons that are not counted yet. */
const USED_SHARE = 0.95;

/** Time for which questions that were not asked may be saved up, in seconds. */
const SAVED_S = 10;

/** Saved share of the budget below which calls ask fewer servers. */
const SCARCE_SHARE = 0.3;

/** The questions that this daemon may ask servers before dispatches, for all services together. */
export class CheckBudget {
  private perSecond = 0;

  private saved = 0;

  private refilledAtMs: number;

  public constructor(private readonly clock: types.IClock) {
    this.refilledAtMs = clock.monotonicMs();
  }

  /** Whether calls should ask few servers, so that every call can ask at least one. */
  public get isScarce(): boolean {
    this.refill();
    return this.saved < SCARCE_SHARE * this.capacity;
  }

  /** Sets the rate at which the whole fleet may ask, and the daemons that share it. */
  public setRate(fleetPerSecond: number, daemons: number): void {
    this.refill();
    const isFirst = this.perSecond === 0;
    this.perSecond = (USED_SHARE * fleetPerSecond) / daemons;
    this.saved = isFirst ? SCARCE_SHARE * this.capacity : Math.min(this.saved, this.capacity);
  }

  /** Takes the permit for a question. Returns false if there is none. */
  public take(): boolean {
    this.refill();
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }

  private get capacity(): number {
    return SAVED_S * this.perSecond;
  }

  private refill(): void {
    const nowMs = this.clock.monotonicMs();
    const earned = ((nowMs - this.refilledAtMs) / 1_000) * this.perSecond;
    this.saved = Math.min(this.capacity, this.saved + earned);
    this.refilledAtMs = nowMs;
  }
}
