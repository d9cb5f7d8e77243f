import type * as types from '../../common/Types';

const WINDOW_MS = 1_000;

/** Limits the log lines of each kind per second, and counts those that are dropped. */
export class LogRateLimiter {
  private readonly windows = new Map<string, { startMs: number; lines: number; dropped: number }>();

  /** @param linesPerSecond Limit on lines of each kind per second. */
  public constructor(
    private readonly linesPerSecond: number,
    private readonly clock: types.IClock,
  ) {}

  /**
   * Admits or drops a line. Returns undefined if it is dropped, otherwise the number of lines of
   * its kind that were dropped since the last admitted one.
   */
  public admit(kind: string): number | undefined {
    const nowMs = this.clock.monotonicMs();
    const window = this.windows.get(kind) ?? { startMs: nowMs, lines: 0, dropped: 0 };
    this.windows.set(kind, window);
    if (nowMs - window.startMs >= WINDOW_MS) {
      window.startMs = nowMs;
      window.lines = 0;
    }
    if (window.lines >= this.linesPerSecond) {
      window.dropped += 1;
      return undefined;
    }
    window.lines += 1;
    const { dropped } = window;
    window.dropped = 0;
    return dropped;
  }
}
