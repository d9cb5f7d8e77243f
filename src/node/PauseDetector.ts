import type * as types from '../common/Types';

const CHECK_INTERVAL_MS = 250;

/** Gap between two checks above which the process counts as paused, in milliseconds. */
const PAUSE_THRESHOLD_MS = 1_000;

/** Detects that the process did not run for a while, for example while its VM was suspended. */
export class PauseDetector implements types.IDisposable {
  private lastCheckMs: number;

  private lastCheckWallMs: number;

  private timer: types.IDisposable | undefined;

  /** @param onPaused Called with the length of a pause, before `check` returns. */
  public constructor(
    private readonly clock: types.IClock,
    private readonly onPaused: (gapMs: number) => void,
  ) {
    this.lastCheckMs = clock.monotonicMs();
    this.lastCheckWallMs = clock.wallTime().getTime();
  }

  public start(): void {
    this.check();
    this.timer = this.clock.setTimer(CHECK_INTERVAL_MS, () => this.start());
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
}
