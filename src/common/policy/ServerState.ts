import type * as tableTypes from '../table/Types';
import type * as policyTypes from './Types';

/** Weight of the newest latency in the moving average. */
const LATENCY_SMOOTHING = 0.2;

/** Time constant by which an observed latency loses its weight. */
export const LATENCY_DECAY_MS = 2_000;

/** Share of each latency by which the fastest one rises, so that a longer way shows in time. */
const FASTEST_DRIFT = 0.0003;

/** Weight of the newest report in the moving average of the reported load. */
const REPORT_SMOOTHING = 0.05;

/** Weight of the newest attempt in the moving average of failures. */
const FAILURE_SMOOTHING = 0.15;

/** Larger loads for each slot are outliers, which must not move the average far. */
const MAX_AVERAGED_LOAD_PER_SLOT = 3;

/** What one daemon knows of one backend server. */
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

  /** Moving average of the share of attempts that failed or were refused. */
  public failureRate = 0;

  private readonly startsMs = new Map<number, number>();

  private lastAttempt = 0;

  /** @param rank Place among the servers of other failure domains when servers are asked. */
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
    // A map keeps the order of insertion, and attempts are inserted in the order of their starts.
    return this.startsMs.values().next().value;
  }

  /** Records the start of an attempt and returns the number to end it with. */
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
    if (result !== 'cancelled') this.recordFailure(result === 'answered' ? 0 : 1);
    if (result === 'answered') this.recordLatency(elapsedMs, nowMs);
    if (result === 'cancelled' || result === 'timed-out')
      this.recordLatencyLowerBound(elapsedMs, nowMs);
  }

  /** Records the load that the server states about itself. */
  public recordReport(report: policyTypes.ILoadReport, nowMs: number): void {
    this.report = report;
    this.reportedAtMs = nowMs;
    const load = Math.min(report.inFlight + report.queued, MAX_AVERAGED_LOAD_PER_SLOT * this.slots);
    const previous = this.usualReportedLoad ?? load;
    this.usualReportedLoad = previous + REPORT_SMOOTHING * (load - previous);
    this.startedSinceReport = 0;
  }

  /** Forgets the load report. */
  public dropReport(): void {
    this.report = undefined;
    this.reportedAtMs = Number.NEGATIVE_INFINITY;
    this.startedSinceReport = 0;
  }

  private recordFailure(share: number): void {
    this.failureRate += FAILURE_SMOOTHING * (share - this.failureRate);
  }

  private recordLatency(latencyMs: number, nowMs: number): void {
    const fastestMs = this.fastestMs ?? latencyMs;
    this.fastestMs = Math.min(fastestMs + FASTEST_DRIFT * latencyMs, latencyMs);
    const previousMs = this.latencyMs ?? latencyMs;
    // An old average counts less. Otherwise a server that was slow, and that therefore gets a call
    // only now and then, would need a dozen of them to be seen as fast again.
    const kept = (1 - LATENCY_SMOOTHING) * Math.exp((this.latencyAtMs - nowMs) / LATENCY_DECAY_MS);
    this.latencyMs = latencyMs + kept * (previousMs - latencyMs);
    this.latencyAtMs = nowMs;
  }

  /**
   * Takes the time that an attempt waited in vain. It is a lower bound of the latency, and often
   * the only trace of a slow server, because the hedge has answered first.
   */
  private recordLatencyLowerBound(waitedMs: number, nowMs: number): void {
    if (this.latencyMs !== undefined && waitedMs <= this.latencyMs) return;
    this.latencyMs = waitedMs;
    this.latencyAtMs = nowMs;
  }
}
