import type * as types from '../Types';

/**
 * Age of a confirmation up to which a daemon relies on its peers, in milliseconds. A change that
 * the peers did not pass on is found by an own read after this time, within the two seconds in
 * which a change must be in force.
 */
export const MAX_CONFIRMATION_AGE_MS = 1_500;

/** When the directory of this daemon was last known to be complete. */
export class Confirmation {
  private confirmedAtMs = Number.NEGATIVE_INFINITY;

  public constructor(private readonly clock: types.IClock) {}

  /** Time since all changes were known, in milliseconds. */
  public get ageMs(): number {
    return this.clock.monotonicMs() - this.confirmedAtMs;
  }

  /** Time for which the directory still counts as complete, in milliseconds; 0 if it does not. */
  public get remainingMs(): number {
    return Math.max(0, MAX_CONFIRMATION_AGE_MS - this.ageMs);
  }

  /** Records that all changes up to `ageMs` milliseconds ago are known. */
  public confirm(ageMs = 0): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, this.clock.monotonicMs() - ageMs);
  }

  /** Relies on nothing, as after a pause of the process. */
  public reset(): void {
    this.confirmedAtMs = Number.NEGATIVE_INFINITY;
  }
}
