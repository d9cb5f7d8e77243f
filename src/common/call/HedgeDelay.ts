/** Multiples of the mean latency that a call waits before it is hedged: at first, and the bounds. */
const INITIAL_MULTIPLE = 3;
const MIN_MULTIPLE = 2.5;
const MAX_MULTIPLE = 5;

/** Factors of the multiple when the hedge, or the attempt before it, answered first. */
const HEDGE_WON_FACTOR = 0.95;
const HEDGE_LOST_FACTOR = 1.03;

/** Weight of the newest latency in the moving average. */
const SMOOTHING = 0.05;

/** Latency assumed before the first answer, in milliseconds. */
const INITIAL_LATENCY_MS = 50;

/**
 * Decides how long a call waits for its answer before a second server is asked: shorter while
 * hedges answer first, since servers are slow then, and longer while they do not, since the
 * calls themselves are long then.
 */
export class HedgeDelay {
  private meanMs = INITIAL_LATENCY_MS;

  private hasLatency = false;

  private multiple = INITIAL_MULTIPLE;

  /** Time to wait, in milliseconds. */
  public get delayMs(): number {
    return this.multiple * this.meanMs;
  }

  /** Takes the latency of an answered attempt. */
  public recordLatency(latencyMs: number): void {
    this.meanMs = this.hasLatency ? this.meanMs + SMOOTHING * (latencyMs - this.meanMs) : latencyMs;
    this.hasLatency = true;
  }

  /** Records whether a hedge answered before the attempt that it was to help. */
  public recordHedge(won: boolean): void {
    const multiple = this.multiple * (won ? HEDGE_WON_FACTOR : HEDGE_LOST_FACTOR);
    this.multiple = Math.min(MAX_MULTIPLE, Math.max(MIN_MULTIPLE, multiple));
  }

  /** A duration as a multiple of the mean latency. */
  public relativeToMean(durationMs: number): number {
    return durationMs / Math.max(this.meanMs, Number.MIN_VALUE);
  }
}
