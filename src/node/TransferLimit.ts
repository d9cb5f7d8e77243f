import type * as types from '../common/Types';

/** Limits on the duration of a transfer, in milliseconds. */
export interface ITransferTimes {
  /** Time until the first bytes. */
  readonly firstByteMs: number;
  /** Time without further bytes. */
  readonly stallMs: number;
  /** Time for everything after the first bytes. */
  readonly totalMs: number;
}

/**
 * Aborts a transfer that makes no progress. A limit on its whole duration alone would either wait
 * long for a silent sender, or fail whenever much is sent over a slow link.
 */
export class TransferLimit implements types.IDisposable {
  private readonly controller = new AbortController();

  private timer: types.IDisposable;

  private firstByteAtMs: number | undefined;

  public constructor(
    private readonly times: ITransferTimes,
    private readonly clock: types.IClock,
  ) {
    this.timer = this.abortAfter(times.firstByteMs);
  }

  /** Aborts the transfer at its limits. */
  public get signal(): AbortSignal {
    return this.controller.signal;
  }

  public recordBytes(): void {
    const nowMs = this.clock.monotonicMs();
    this.firstByteAtMs ??= nowMs;
    const leftMs = this.firstByteAtMs + this.times.totalMs - nowMs;
    this.timer.dispose();
    this.timer = this.abortAfter(Math.max(0, Math.min(this.times.stallMs, leftMs)));
  }

  public dispose(): void {
    this.timer.dispose();
  }

  private abortAfter(durationMs: number): types.IDisposable {
    return this.clock.setTimer(durationMs, () =>
      this.controller.abort(new Error('the transfer made no progress in time')),
    );
  }
}
