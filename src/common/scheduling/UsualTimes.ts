import type * as types from './Types';

/** Weight of the newest call in the fraction of calls that state the usual time. */
const SMOOTHING = 0.05;

/** Fraction of the calls of a kind that have to state the same time for it to count as usual. */
const MIN_FRACTION = 0.5;

/** Calls after which a time can count as usual. */
const MIN_CALLS = 5;

/** Relative difference up to which two times count as the same. */
const TOLERANCE = 0.02;

/** Number of kinds above which all are learned anew. */
const MAX_KINDS = 64;

interface IUsualTime {
  longestMs: number;
  calls: number;
  /** Moving average of the fraction of calls that state the longest time. */
  fraction: number;
}

/**
 * Learns the time until the deadline that calls of a kind state when their callers send them first.
 * A call that states less was probably refused by another daemon: its latency objective counts from
 * the first attempt, which no header tells. Where callers state different times, nothing is learned.
 */
export class UsualTimes {
  private readonly kinds = new Map<string | number, IUsualTime>();

  /** Records a call, and returns the time since its first attempt, in milliseconds. */
  public elapsedMs(
    call: Pick<types.ScheduledCall, 'route' | 'priority'>,
    remainingMs: number,
  ): number {
    const kind = call.route ?? call.priority;
    if (kind === undefined || !Number.isFinite(remainingMs)) return 0;
    const usual = this.usualOf(kind, remainingMs);
    const isLongest = remainingMs >= usual.longestMs * (1 - TOLERANCE);
    usual.calls += 1;
    const weight = Math.max(SMOOTHING, 1 / usual.calls);
    usual.fraction += weight * ((isLongest ? 1 : 0) - usual.fraction);
    const isKnown = usual.calls >= MIN_CALLS && usual.fraction >= MIN_FRACTION;
    return isLongest || !isKnown ? 0 : usual.longestMs - remainingMs;
  }

  private usualOf(kind: string | number, remainingMs: number): IUsualTime {
    const known = this.kinds.get(kind);
    const isLonger = known !== undefined && remainingMs > known.longestMs * (1 + TOLERANCE);
    const isRare =
      known !== undefined && known.calls >= MIN_CALLS && known.fraction < MIN_FRACTION / 2;
    if (known !== undefined && !isLonger && !isRare) return known;
    if (this.kinds.size >= MAX_KINDS) this.kinds.clear();
    const usual = { longestMs: remainingMs, calls: 0, fraction: 0 };
    this.kinds.set(kind, usual);
    return usual;
  }
}
