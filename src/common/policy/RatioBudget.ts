import type * as types from '../Types';

/** Maximum number of accumulated permits, which limits the burst after a period without traffic. */
const MAX_PERMITS = 10;

/** Permits granted per second regardless of traffic, for services with few calls. */
const MIN_PERMITS_PER_SECOND = 0.1;

/**
 * Token bucket that limits extra attempts (retries or hedges) to a fraction of first attempts, so
 * that the extra load cannot grow with the failure rate.
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
   * Sets the permits available beyond the fraction: this daemon's share of a fleet-wide allowance.
   * @param maxPermits Maximum number of accumulated permits.
   * @param permitsPerSecond Permits granted per second regardless of traffic.
   */
  public setReserve(maxPermits: number, permitsPerSecond: number): void {
    this.refill();
    this.maxPermits = maxPermits;
    this.permitsPerSecond = permitsPerSecond;
    this.permits = Math.min(maxPermits, this.permits);
  }

  /** Adds the permits earned by a first attempt, or by a fraction of one. */
  public deposit(share = 1): void {
    this.permits = Math.min(this.maxPermits, this.permits + this.fraction * share);
  }

  /** Takes a permit for an extra attempt. Returns false if none is available. */
  public take(): boolean {
    if (!this.available) return false;
    this.permits -= 1;
    return true;
  }

  /** Deducts permits for an attempt that cost more than one. The balance may become negative. */
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
