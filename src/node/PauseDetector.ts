import type * as types from '../common/Types';

const CHECK_INTERVAL_MS = 250;

/** Delay of a check above which it is reported, in milliseconds. */
const DELAY_THRESHOLD_MS = 200;

/** Gap between two checks above which the process counts as paused, in milliseconds. */
const PAUSE_THRESHOLD_MS = 1_000;

/**
 * Detects that the process did not run for a while, for example while its VM was suspended, and that
 * it is short of processor time.
 */
export class PauseDetector implements types.IDisposable {
  private lastCheckMs: number;

  private lastCheckWallMs: number;

  private timer: types.IDisposable | undefined;

  /**
   * @param onPaused Called with the length of a pause, before `check` returns.
   * @param onDelayed Called with the time by which a periodic check came late, if it is long.
   */
  public constructor(
    private readonly clock: types.IClock,
    private readonly onPaused: (gapMs: number) => void,
    private readonly onDelayed: (delayMs: number) => void = () => undefined,
  ) {
    this.lastCheckMs = clock.monotonicMs();
    this.lastCheckWallMs = clock.wallTime().getTime();
  }

  public start(): void {
    this.check();
    const dueMs = this.clock.monotonicMs() + CHECK_INTERVAL_MS;
    this.timer = this.clock.setTimer(CHECK_INTERVAL_MS, () => {
      this.reportDelay(this.clock.monotonicMs() - dueMs);
      this.start();
    });
  }

  /**
   * Compares the clocks with those of the last check. Call this before acting on cached state:
   * requests that arrived during a pause are handled before the overdue timer fires.
   */
  public check(): void {
    const nowMs = this.clock.monotonicMs();
    const wallMs = this.clock.wallTime().getTime();
    // The monotonic clock stops while a VM is suspended; the wall clock does not. A wall clock that
    // was set forward looks the same, but the state discarded then is soon learned again.
    const gapMs = Math.max(nowMs - this.lastCheckMs, wallMs - this.lastCheckWallMs);
    this.lastCheckMs = nowMs;
    this.lastCheckWallMs = wallMs;
    if (gapMs > PAUSE_THRESHOLD_MS) this.onPaused(gapMs);
  }

  public dispose(): void {
    this.timer?.dispose();
  }

  private reportDelay(delayMs: number): void {
    if (delayMs > DELAY_THRESHOLD_MS) this.onDelayed(delayMs);
  }
}
