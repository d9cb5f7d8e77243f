import type * as types from '../common/Types';

const CHECK_INTERVAL_MS = 250;

/** Gap between two checks from which on the process counts as paused, in milliseconds. */
const PAUSE_THRESHOLD_MS = 1_000;

/** Notices that the process did not run for a while, as after a stop of its VM. */
export class PauseDetector implements types.IDisposable {
  private lastCheckMs: number;

  private lastCheckWallMs: number;

  private timer: types.IDisposable | undefined;

  /** @param onPaused Called after a pause with its length, before any other decision. */
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
   * Compares the clock with the last check. Callers check before they act on what they knew, since
   * requests that arrived during a pause are handled before the timer that is due.
   */
  public check(): void {
    const nowMs = this.clock.monotonicMs();
    const wallMs = this.clock.wallTime().getTime();
    // The monotonic clock stands still while a VM is suspended, and the wall clock does not. A wall
    // clock that was set forward looks the same, and what is dropped then is soon known again.
    const gapMs = Math.max(nowMs - this.lastCheckMs, wallMs - this.lastCheckWallMs);
    this.lastCheckMs = nowMs;
    this.lastCheckWallMs = wallMs;
    if (gapMs > PAUSE_THRESHOLD_MS) this.onPaused(gapMs);
  }

  public dispose(): void {
    this.timer?.dispose();
  }
}
