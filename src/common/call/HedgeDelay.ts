/** Hedge delay as a multiple of the mean latency: initial value and bounds. */
const INITIAL_MULTIPLE = 3;
const MIN_MULTIPLE = 2.5;
const MAX_MULTIPLE = 5;

/** Factors applied to the multiple when the hedge, or an earlier attempt, answered first. */
const HEDGE_WON_FACTOR = 0.95;
const HEDGE_LOST_FACTOR = 1.03;

/** Weight of the newest sample in the EWMA of the latency. */
const SMOOTHING = 0.05;

/** Latency assumed before the first answer, in milliseconds. */
const INITIAL_LATENCY_MS = 50;

/**
 * Adapts the delay before a call is hedged. The delay becomes shorter while hedges answer first,
 * which indicates slow servers, and longer while they do not, which indicates long requests.
 */
export class HedgeDelay {
  private meanMs = INITIAL_LATENCY_MS;

  private hasLatency = false;

  private multiple = INITIAL_MULTIPLE;

  /** Delay before a hedge, in milliseconds. */
  public get delayMs(): number {
    return this.multiple * this.meanMs;
  }

  /** Records the latency of an answered attempt. */
  public recordLatency(latencyMs: number): void {
    this.meanMs = this.hasLatency ? this.meanMs + SMOOTHING * (latencyMs - this.meanMs) : latencyMs;
    this.hasLatency = true;
  }

  /** Records whether a hedge answered before an earlier attempt. */
  public recordHedge(won: boolean): void {
    const multiple = this.multiple * (won ? HEDGE_WON_FACTOR : HEDGE_LOST_FACTOR);
    this.multiple = Math.min(MAX_MULTIPLE, Math.max(MIN_MULTIPLE, multiple));
  }

  /** Returns a duration as a multiple of the mean latency. */
  public relativeToMean(durationMs: number): number {
    return durationMs / Math.max(this.meanMs, Number.MIN_VALUE);
  }
}
