import type * as callTypes from '../../common/call/Types';
import type * as simulatedTransport from './SimulatedTransport';
import type * as benchTypes from './Types';

/** Estimated size of a probe and its reply on the network, including HTTP and TCP headers. */
const PROBE_BYTES = 600;

function quantile(sorted: Float64Array, fraction: number): number {
  const index = Math.min(sorted.length - 1, Math.ceil(fraction * sorted.length) - 1);
  return Number((sorted[Math.max(0, index)] ?? 0).toFixed(3));
}

/** Returns the highest number of probes within any sliding window of one second. */
function maxInOneSecond(timesMs: readonly number[]): number {
  let windowStart = 0;
  let most = 0;
  timesMs.forEach((atMs, index) => {
    while ((timesMs[windowStart] as number) <= atMs - 1_000) windowStart += 1;
    most = Math.max(most, index - windowStart + 1);
  });
  return most;
}

/** Records the outcomes and latencies of the calls of one run. */
export class Recorder {
  public readonly traffic: simulatedTransport.ITraffic = {
    attempts: 0,
    leafAttempts: 0,
    probeTimesMs: [],
  };

  private readonly latencies: number[] = [];

  private calls = 0;

  private answered = 0;

  private refusedNotRun = 0;

  private late = 0;

  private answeredLate = 0;

  /** Records the outcome of a measured call. */
  public record(
    call: callTypes.ICall,
    startedMs: number,
    endedMs: number,
    outcome: callTypes.CallOutcome,
  ): void {
    this.calls += 1;
    const isAnswered = outcome.kind === 'answered';
    // An unanswered call counts with its whole deadline, so that failing fast improves no quantile.
    this.latencies.push((isAnswered ? endedMs : call.deadlineMs) - startedMs);
    if (isAnswered) {
      this.answered += 1;
      if (endedMs > call.deadlineMs) this.answeredLate += 1;
    } else if (outcome.kind === 'not-run' && outcome.reason !== 'deadline-before-dispatch') {
      this.refusedNotRun += 1;
    } else {
      this.late += 1;
    }
  }

  public result(
    window: { readonly fromMs: number; readonly toMs: number },
    daemons: number,
    arrivalCount: number,
    nesting: 'single' | 'nested',
    budget: { readonly probesPerSecond: number | null },
  ): benchTypes.IRunResult {
    const latenciesMs = Float64Array.from(this.latencies).sort();
    const { probeTimesMs, attempts, leafAttempts } = this.traffic;
    const isInWindow = (atMs: number): boolean => atMs >= window.fromMs && atMs < window.toMs;
    const probes = probeTimesMs.filter(isInWindow).length;
    const probesPerSecond = (probes / (window.toMs - window.fromMs)) * 1_000;
    const round = (value: number): number => Number(value.toFixed(4));
    const figures = {
      calls: this.calls,
      answered: this.answered,
      refusedNotRun: this.refusedNotRun,
      late: this.late,
      answeredLate: this.answeredLate,
      p50Ms: quantile(latenciesMs, 0.5),
      p99Ms: quantile(latenciesMs, 0.99),
      p999Ms: quantile(latenciesMs, 0.999),
      probesPerSecond: round(probesPerSecond),
      maxProbesInOneSecond: maxInOneSecond(probeTimesMs),
      probeBudgetPerSecond: budget.probesPerSecond,
      probesPerAnsweredCall: round(probes / Math.max(1, this.answered)),
      attemptsPerCall: round(
        (nesting === 'nested' ? leafAttempts : attempts) / Math.max(1, arrivalCount),
      ),
      controlBytesPerSecond: round((probesPerSecond * PROBE_BYTES) / daemons),
    };
    return { figures, latenciesMs };
  }
}
