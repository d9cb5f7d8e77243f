import type * as types from '../Types';

/** Most permits that can be saved up, so that a long quiet time allows no burst. */
const MAX_SAVED = 10;

/** Permits granted per second without any traffic, for services with few calls. */
const MINIMUM_PER_SECOND = 0.1;

/**
 * Bounds extra attempts (retries or hedges) to a fraction of first attempts, so that extra
 * load cannot grow with the failure rate.
 */
export class RatioBudget {
  private saved = 1;

  private maxSaved = MAX_SAVED;

  private perSecond = MINIMUM_PER_SECOND;

  private refilledAtMs: number;

  public constructor(
    private fraction: number,
    private readonly clock: types.IClock,
  ) {
    this.refilledAtMs = clock.monotonicMs();
  }

  /** Whether an extra attempt may start now. */
  public get available(): boolean {
    this.refill();
    return this.saved >= 1;
  }

  public setFraction(fraction: number): void {
    this.fraction = fraction;
  }

  /**
   * Sets what may be spent beyond the fraction, as the share of an allowance of the whole fleet.
   * @param maxSaved Most permits that can be saved up.
   * @param perSecond Permits granted per second without any traffic.
   */
  public setReserve(maxSaved: number, perSecond: number): void {
    this.refill();
    this.maxSaved = maxSaved;
    this.perSecond = perSecond;
    this.saved = Math.min(maxSaved, this.saved);
  }

  /** Counts a first attempt, or a share of one. */
  public deposit(share = 1): void {
    this.saved = Math.min(this.maxSaved, this.saved + this.fraction * share);
  }

  /** Takes a permit for an extra attempt. Returns false if there is none. */
  public take(): boolean {
    if (!this.available) return false;
    this.saved -= 1;
    return true;
  }

  /** Takes permits afterwards for an attempt that cost more than one. The budget may run into debt. */
  public charge(permits: number): void {
    this.saved = Math.max(-this.maxSaved, this.saved - permits);
  }

  private refill(): void {
    if (this.fraction === 0) {
      this.saved = 0;
      return;
    }
    const nowMs = this.clock.monotonicMs();
    const earned = ((nowMs - this.refilledAtMs) / 1_000) * this.perSecond;
    this.saved = Math.min(this.maxSaved, this.saved + earned);
    this.refilledAtMs = nowMs;
  }
}
