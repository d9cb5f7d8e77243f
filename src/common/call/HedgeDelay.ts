/** A call waits for this multiple of the mean latency before it is hedged. */
const MEANS_BEFORE_HEDGE = 4;

/** Weight of the newest latency in the moving average. */
const SMOOTHING = 0.05;

/** Latency assumed before the first answer, in milliseconds. */
const INITIAL_LATENCY_MS = 50;

/** Decides how long a call waits for its answer before a second server is asked. */
export class HedgeDelay {
  private meanMs: number | undefined;

  /** Time to wait, in milliseconds. */
  public get delayMs(): number {
    return MEANS_BEFORE_HEDGE * (this.meanMs ?? INITIAL_LATENCY_MS);
  }

  /** Takes the latency of an answered attempt. */
  public recordLatency(latencyMs: number): void {
    const previousMs = this.meanMs ?? latencyMs;
    this.meanMs = previousMs + SMOOTHING * (latencyMs - previousMs);
  }
}
