import type * as types from '../Types';

/** Time constant of the average, in milliseconds: long against the gaps between a few calls. */
const AVERAGING_MS = 5_000;

/** Time from which the average counts, in milliseconds. The first events would weigh too much. */
const MIN_AGE_MS = 1_000;

/** Moving average of the rate of events. */
export class RateMeter {
  private weight = 0;

  private updatedAtMs: number;

  private readonly startedAtMs: number;

  public constructor(private readonly clock: types.IClock) {
    this.startedAtMs = clock.monotonicMs();
    this.updatedAtMs = this.startedAtMs;
  }

  /** Events per second. */
  public get perSecond(): number {
    this.decay();
    const ageMs = Math.max(MIN_AGE_MS, this.updatedAtMs - this.startedAtMs);
    return (1_000 * this.weight) / (AVERAGING_MS * (1 - Math.exp(-ageMs / AVERAGING_MS)));
  }

  public record(): void {
    this.decay();
    this.weight += 1;
  }

  private decay(): void {
    const nowMs = this.clock.monotonicMs();
    this.weight *= Math.exp((this.updatedAtMs - nowMs) / AVERAGING_MS);
    this.updatedAtMs = nowMs;
  }
}
