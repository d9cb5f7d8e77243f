import * as emitter from '../Emitter';
import type * as types from '../Types';

/**
 * Share of the time within which a change must be active after which a confirmation expires. The
 * rest is the time in which a follower without confirmation reads the directory itself.
 */
const MAX_AGE_SHARE = 0.75;

/** Tracks when this daemon's copy of the directory was last known to be up to date. */
export class Confirmation {
  private readonly advancedEmitter = new emitter.Emitter<void>();

  private confirmedAtMs = Number.NEGATIVE_INFINITY;

  /** Fires when the directory is known to be up to date at a later time than before. */
  public readonly onAdvanced: types.Event<void> = this.advancedEmitter.event;

  /** @param changeDeadlineMs Returns the time within which a change must be active. */
  public constructor(
    private readonly clock: types.IClock,
    private readonly changeDeadlineMs: () => number,
  ) {}

  /** Maximum age of a confirmation, in milliseconds. */
  public get maxAgeMs(): number {
    return MAX_AGE_SHARE * this.changeDeadlineMs();
  }

  /** Monotonic time, in milliseconds, up to which all changes are known. */
  public get timeMs(): number {
    return this.confirmedAtMs;
  }

  /** Time since the directory was last known to be up to date, in milliseconds. */
  public get ageMs(): number {
    return this.clock.monotonicMs() - this.confirmedAtMs;
  }

  /** Time until the confirmation expires, in milliseconds; 0 if it has expired. */
  public get remainingMs(): number {
    return Math.max(0, this.maxAgeMs - this.ageMs);
  }

  /** Records that all changes up to `ageMs` milliseconds ago are known. */
  public confirm(ageMs = 0): void {
    const timeMs = this.clock.monotonicMs() - ageMs;
    if (timeMs <= this.confirmedAtMs) return;
    this.confirmedAtMs = timeMs;
    this.advancedEmitter.fire();
  }

  /** Discards the confirmation, as after a pause of the process. */
  public reset(): void {
    this.confirmedAtMs = Number.NEGATIVE_INFINITY;
  }
}
