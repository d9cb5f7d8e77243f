import type * as types from '../Types';

/**
 * Maximum age of a confirmation, in milliseconds. A follower with an older one reads the directory
 * itself, so that a change that its peers did not pass on takes effect within the required two
 * seconds.
 */
export const MAX_CONFIRMATION_AGE_MS = 1_500;

/** Tracks when this daemon's copy of the directory was last known to be up to date. */
export class Confirmation {
  private confirmedAtMs = Number.NEGATIVE_INFINITY;

  public constructor(private readonly clock: types.IClock) {}

  /** Time since the directory was last known to be up to date, in milliseconds. */
  public get ageMs(): number {
    return this.clock.monotonicMs() - this.confirmedAtMs;
  }

  /** Time until the confirmation expires, in milliseconds; 0 if it has expired. */
  public get remainingMs(): number {
    return Math.max(0, MAX_CONFIRMATION_AGE_MS - this.ageMs);
  }

  /** Records that all changes up to `ageMs` milliseconds ago are known. */
  public confirm(ageMs = 0): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, this.clock.monotonicMs() - ageMs);
  }

  /** Discards the confirmation, as after a pause of the process. */
  public reset(): void {
    this.confirmedAtMs = Number.NEGATIVE_INFINITY;
  }
}
