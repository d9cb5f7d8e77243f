import type * as types from '../Types';

/** Most permits that can be saved up, so that a long quiet time allows no burst. */
const MAX_PERMITS = 10;

/** Permits granted per second without any traffic, for services with few calls. */
const MIN_PERMITS_PER_SECOND = 0.1;

/**
 * Bounds extra attempts (retries or hedges) to a fraction of first attempts, so that extra
 * load cannot grow with the failure rate.
 */
export class RatioBudget {
  private permits = 1;

  private maxPermits = MAX_PERMITS;

  private permitsPerSecond = MIN_PERMITS_PER_SECOND;

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
    return this.permits >= 1;
  }

  public setFraction(fraction: number): void {
    this.fraction = fraction;
  }

  /**
   * Sets what may be spent beyond the fraction, as the share of an allowance of the whole fleet.
   * @param maxPermits Most permits that can be saved up.
   * @param permitsPerSecond Permits granted per second without any traffic.
   */
  public setReserve(maxPermits: number, permitsPerSecond: number): void {
    this.refill();
    this.maxPermits = maxPermits;
    this.permitsPerSecond = permitsPerSecond;
    this.permits = Math.min(maxPermits, this.permits);
  }

  /** Counts a first attempt, or a share of one. */
  public deposit(share = 1): void {
    this.permits = Math.min(this.maxPermits, this.permits + this.fraction * share);
  }

  /** Takes a permit for an extra attempt. Returns false if there is none. */
  public take(): boolean {
    if (!this.available) return false;
    this.permits -= 1;
    return true;
  }

  /** Takes permits afterwards for an attempt that cost more than one. The budget may run into debt. */
  public charge(permits: number): void {
    this.permits = Math.max(-this.maxPermits, this.permits - permits);
  }

  private refill(): void {
    if (this.fraction === 0) {
      this.permits = 0;
      return;
    }
    const nowMs = this.clock.monotonicMs();
    const earned = ((nowMs - this.refilledAtMs) / 1_000) * this.permitsPerSecond;
    this.permits = Math.min(this.maxPermits, this.permits + earned);
    this.refilledAtMs = nowMs;
  }
}
