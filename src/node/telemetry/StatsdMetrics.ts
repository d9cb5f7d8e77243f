import * as hotShots from 'hot-shots';

import type * as types from '../../common/Types';
import * as names from './Names';
import type * as telemetryTypes from './Types';

/** Interval at which counters and durations are sent, in milliseconds. */
const FLUSH_INTERVAL_MS = 1_000;

/** Number of durations sent per name, set of tags and interval. The others are only counted. */
const RESERVOIR_SIZE = 32;

interface ITimings {
  readonly name: string;
  readonly tags: string[];
  readonly values: number[];
  count: number;
}

/**
 * Sends metrics over UDP in the DogStatsD format. Counters are aggregated and sent once a second,
 * so that calls do not pay for formatting messages.
 */
export class StatsdMetrics implements telemetryTypes.IMetrics {
  private readonly client: hotShots.StatsD;

  private readonly counts = new Map<string, { name: string; tags: string[]; count: number }>();

  private readonly timings = new Map<string, ITimings>();

  private timer: types.IDisposable | undefined;

  public constructor(
    host: string,
    port: number,
    globalTags: Readonly<Record<string, string>>,
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
    onError: (error: Error) => void,
  ) {
    this.client = new hotShots.StatsD({
      host,
      port,
      prefix: names.METRIC_PREFIX,
      globalTags: { ...globalTags },
      maxBufferSize: 1_400,
      errorHandler: onError,
    });
    this.scheduleFlush();
  }

  public increment(name: string, tags: readonly string[]): void {
    const key = `${name}|${tags.join()}`;
    const entry = this.counts.get(key);
    if (entry === undefined) this.counts.set(key, { name, tags: [...tags], count: 1 });
    else entry.count += 1;
  }

  public timing(name: string, durationMs: number, tags: readonly string[]): void {
    const key = `${name}|${tags.join()}`;
    const entry = this.timings.get(key);
    if (entry === undefined) {
      this.timings.set(key, { name, tags: [...tags], values: [durationMs], count: 1 });
      return;
    }
    entry.count += 1;
    if (entry.values.length < RESERVOIR_SIZE) entry.values.push(durationMs);
    else {
      // Reservoir sampling: every duration of the interval is equally likely to be sent.
      const index = this.random.nextInteger(entry.count);
      if (index < RESERVOIR_SIZE) entry.values[index] = durationMs;
    }
  }

  public gauge(name: string, value: number, tags: readonly string[] = []): void {
    this.client.gauge(name, value, [...tags]);
  }

  /** Sends the remaining metrics and closes the socket. */
  public close(): Promise<void> {
    this.timer?.dispose();
    this.flush();
    return new Promise((resolve) => {
      this.client.close(() => resolve());
    });
  }

  private scheduleFlush(): void {
    this.timer = this.clock.setTimer(FLUSH_INTERVAL_MS, () => {
      this.flush();
      this.scheduleFlush();
    });
  }

  private flush(): void {
    this.counts.forEach(({ name, tags, count }) => this.client.increment(name, count, tags));
    this.counts.clear();
    this.timings.forEach(({ name, tags, values, count }) => {
      values.forEach((value) => this.client.distribution(name, value, tags));
      const omitted = count - values.length;
      if (omitted > 0) this.client.increment(`${name}.omitted`, omitted, tags);
    });
    this.timings.clear();
  }
}
