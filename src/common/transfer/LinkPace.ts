import type * as types from '../Types';

/** Share of the link that large bodies may take; the rest is for small requests and answers. */
const LARGE_BODY_SHARE = 0.75;

/** Delay that is worth a timer, in milliseconds. Shorter ones add up until they are. */
const MIN_DELAY_MS = 2;

const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1_000_000;
const MS_PER_S = 1_000;

/**
 * Size, in bytes, up to which a body is passed on without a pause, and of the pieces of a larger one.
 * A piece is the most that a small message finds before it in the queue of the link.
 */
export const PIECE_BYTES = 12 * 1024;
export const SMALL_BODY_BYTES = 32 * 1024;

/**
 * Paces large bodies in one direction of the link of this VM. Otherwise each of them would fill the
 * window of its connection, and small messages of other callers would wait behind it on a narrow link.
 */
export class LinkPace {
  /** Monotonic time at which the bytes that were passed on have left the link. */
  private freeAtMs = Number.NEGATIVE_INFINITY;

  /** @param readMegabits Returns the capacity of the link in megabits a second, if it is known. */
  public constructor(
    private readonly readMegabits: () => number | undefined,
    private readonly clock: types.IClock,
  ) {}

  /**
   * Records that bytes of a large body are passed on.
   * @returns The delay until the next ones, in milliseconds; 0 for none.
   */
  public pass(bytes: number): number {
    const megabits = this.readMegabits();
    if (megabits === undefined) return 0;
    const bytesPerMs = (LARGE_BODY_SHARE * megabits * BITS_PER_MEGABIT) / BITS_PER_BYTE / MS_PER_S;
    const nowMs = this.clock.monotonicMs();
    this.freeAtMs = Math.max(this.freeAtMs, nowMs) + bytes / bytesPerMs;
    const delayMs = this.freeAtMs - nowMs;
    return delayMs < MIN_DELAY_MS ? 0 : delayMs;
  }
}
