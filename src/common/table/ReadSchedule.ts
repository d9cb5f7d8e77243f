import type * as types from '../Types';

/**
 * Reads a second of the whole fleet at the shortest intervals. The limit is 200 (a tenth of
 * what the configuration service takes); the difference covers daemons that by chance read
 * more in one second than in the next.
 */
const MAX_FLEET_READS_PER_SECOND = 180;
/** Shortest time between two reads of a daemon. Table and VM list alternate. */
const MIN_INTERVAL_MS = 500;
/** Fleet size that is assumed before the first table tells it. */
const DEFAULT_MAX_DAEMONS = 200;
/**
 * Jitter as a fraction of the interval. It only lengthens the interval, and is wide enough to
 * spread daemons that started together within a few reads.
 */
const JITTER_FRACTION = 0.5;

/** Time between the reads of one daemon, such that the fleet keeps to the rate limit. */
export class ReadSchedule {
  public constructor(private readonly random: types.IRandom) {}

  /** Delay of the first read, so that daemons that start together do not read together. */
  public firstDelayMs(): number {
    return ReadSchedule.intervalMs(DEFAULT_MAX_DAEMONS) * this.random.next();
  }

  /** Delay from one read to the next, whether the read succeeded or not. */
  public nextDelayMs(maxDaemons: number | undefined): number {
    const intervalMs = ReadSchedule.intervalMs(maxDaemons ?? DEFAULT_MAX_DAEMONS);
    return intervalMs * (1 + JITTER_FRACTION * this.random.next());
  }

  private static intervalMs(maxDaemons: number): number {
    return Math.max(MIN_INTERVAL_MS, (maxDaemons * 1_000) / MAX_FLEET_READS_PER_SECOND);
  }
}
