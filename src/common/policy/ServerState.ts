import type * as tableTypes from '../table/Types';
import type * as policyTypes from './Types';

/** Weight of the newest sample in the EWMA of the latency. */
const LATENCY_SMOOTHING = 0.2;

/** Time constant of the decay of an observed latency, in milliseconds. */
export const LATENCY_DECAY_MS = 2_000;

/** Fraction of each latency by which the lowest one rises, so that it follows a longer path. */
const FASTEST_DRIFT = 0.0003;

/** Weight of the newest report in the EWMA of the reported load. */
const REPORT_SMOOTHING = 0.05;

/** Weight of the newest attempt in the EWMA of the failure rate. */
const FAILURE_SMOOTHING = 0.15;

/** Largest load per slot that enters the average; higher values are outliers and are clamped. */
const MAX_AVERAGED_LOAD_PER_SLOT = 3;

/** State of one backend server, as this daemon observes it. */
export class ServerState implements policyTypes.IServerState {
  public row: tableTypes.IServerRow;

  public latencyMs: number | undefined;

  public fastestMs: number | undefined;

  public latencyAtMs = Number.NEGATIVE_INFINITY;

  public report: policyTypes.ILoadReport | undefined;

  public reportedAtMs = Number.NEGATIVE_INFINITY;

  public usualReportedLoad: number | undefined;

  public startedSinceReport = 0;

  public warmth = 1;

  /** Monotonic time of the last reply to a request or a check. */
  public repliedAtMs = Number.NEGATIVE_INFINITY;

  /** Moving average of the fraction of attempts that failed, timed out or were refused. */
  public failureRate = 0;

  private readonly startsMs = new Map<number, number>();

  private lastAttempt = 0;

  /** @param rank Sort key by which this daemon orders servers of other failure domains. */
  public constructor(
    row: tableTypes.IServerRow,
    public readonly rank = 0,
  ) {
    this.row = row;
  }

  public get address(): string {
    return this.row.address;
  }

  public get failureDomain(): string {
    return this.row.failureDomain;
  }

  public get weight(): number {
    return this.row.weight;
  }

  public get slots(): number {
    return this.row.slots;
  }

  public get inFlight(): number {
    return this.startsMs.size;
  }

  public get oldestStartMs(): number | undefined {
    // A map iterates in insertion order, which is the order of the starts.
    return this.startsMs.values().next().value;
  }

  /** Records the start of an attempt and returns its number for `recordEnd`. */
  public recordStart(nowMs: number): number {
    this.lastAttempt += 1;
    this.startsMs.set(this.lastAttempt, nowMs);
    this.startedSinceReport += 1;
    return this.lastAttempt;
  }

  /** Records the end of an attempt. */
  public recordEnd(attempt: number, result: policyTypes.AttemptResult, nowMs: number): void {
    const startMs = this.startsMs.get(attempt);
    if (startMs === undefined) return;
    this.startsMs.delete(attempt);
    const elapsedMs = nowMs - startMs;
    if (result === 'answered' || result === 'refused') this.repliedAtMs = nowMs;
    if (result !== 'cancelled') this.recordFailure(result === 'answered' ? 0 : 1);
    if (result === 'answered') this.recordLatency(elapsedMs, nowMs);
    if (result === 'cancelled' || result === 'timed-out')
      this.recordLatencyLowerBound(elapsedMs, nowMs);
  }

  /** Records a reply to a check. */
  public recordReply(nowMs: number): void {
    this.repliedAtMs = nowMs;
  }

  /** Records a load report of the server. */
  public recordReport(report: policyTypes.ILoadReport, nowMs: number): void {
    this.report = report;
    this.reportedAtMs = nowMs;
    const load = Math.min(report.inFlight + report.queued, MAX_AVERAGED_LOAD_PER_SLOT * this.slots);
    const previous = this.usualReportedLoad ?? load;
    this.usualReportedLoad = previous + REPORT_SMOOTHING * (load - previous);
    this.startedSinceReport = 0;
  }

  /** Discards the load report. */
  public dropReport(): void {
    this.report = undefined;
    this.reportedAtMs = Number.NEGATIVE_INFINITY;
    this.startedSinceReport = 0;
  }

  private recordFailure(sample: number): void {
    this.failureRate += FAILURE_SMOOTHING * (sample - this.failureRate);
  }

  private recordLatency(latencyMs: number, nowMs: number): void {
    const fastestMs = this.fastestMs ?? latencyMs;
    this.fastestMs = Math.min(fastestMs + FASTEST_DRIFT * latencyMs, latencyMs);
    const previousMs = this.latencyMs ?? latencyMs;
    // The weight of the average decays with age. Otherwise a server that was slow, and therefore
    // gets few calls, would need a dozen of them before it counts as fast again.
    const kept = (1 - LATENCY_SMOOTHING) * Math.exp((this.latencyAtMs - nowMs) / LATENCY_DECAY_MS);
    this.latencyMs = latencyMs + kept * (previousMs - latencyMs);
    this.latencyAtMs = nowMs;
  }

  /**
   * Records how long an unanswered attempt waited, which is a lower bound of the latency. It is
   * often the only sign of a slow server, because a hedge has answered first.
   */
  private recordLatencyLowerBound(waitedMs: number, nowMs: number): void {
    if (this.latencyMs !== undefined && waitedMs <= this.latencyMs) return;
    this.latencyMs = waitedMs;
    this.latencyAtMs = nowMs;
  }
}
