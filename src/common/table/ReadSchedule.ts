import type * as types from '../Types';

/**
 * Maximum read rate of the whole fleet, per second. The limit is 200 (a tenth of what the
 * configuration service accepts); the margin covers random peaks within single seconds.
 */
const MAX_FLEET_READS_PER_SECOND = 180;
/** Minimum time between two reads of a daemon. Reads of table and VM list alternate. */
const MIN_INTERVAL_MS = 500;
/** Fleet size assumed before the first table becomes active. */
const DEFAULT_MAX_DAEMONS = 200;
/**
 * Jitter as a fraction of the interval. It only lengthens the interval, and is wide enough to
 * spread daemons that started together within a few reads.
 */
const JITTER_FRACTION = 0.5;

/** Schedules the reads of one daemon such that the fleet stays below the rate limit. */
export class ReadSchedule {
  public constructor(private readonly random: types.IRandom) {}

  /** Returns a random delay for the first read, which spreads daemons that start together. */
  public firstDelayMs(): number {
    return ReadSchedule.intervalMs(DEFAULT_MAX_DAEMONS) * this.random.next();
  }

  /** Returns the delay until the next read, whether the last one succeeded or not. */
  public nextDelayMs(maxDaemons: number | undefined): number {
    const intervalMs = ReadSchedule.intervalMs(maxDaemons ?? DEFAULT_MAX_DAEMONS);
    return intervalMs * (1 + JITTER_FRACTION * this.random.next());
  }

  private static intervalMs(maxDaemons: number): number {
    return Math.max(MIN_INTERVAL_MS, (maxDaemons * 1_000) / MAX_FLEET_READS_PER_SECOND);
  }
}
