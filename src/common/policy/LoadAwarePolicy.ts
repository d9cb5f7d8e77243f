import type * as types from '../Types';
import * as selectionPolicy from './SelectionPolicy';
import * as serverState from './ServerState';
import type * as policyTypes from './Types';

/** Time constant by which a load report loses its weight. */
const REPORT_DECAY_MS = 30;
/** Share of the slots that an unknown server is expected to have in use. */
const ASSUMED_BUSY = 0.7;
const ASSUMED_LATENCY_MS = 10;
/** Latencies below this multiple of the median say more of the work than of the server. */
const SLOW_FACTOR = 2;
/**
 * Age from which on an observed latency no longer counts. A latency of hundreds of medians would
 * otherwise keep a server that is fast again without work for more than 10 s.
 */
const LATENCY_KEPT_MS = 5_000;
/**
 * Addition to the score of a server that has just come back, as a fraction. Dividing the score by
 * the warmth instead makes the daemons shed calls when ejections follow each other.
 */
const COLD_PENALTY = 0.25;
/** Weight of the time on the network, which every call pays, against a load that most do not. */
const DISTANCE_WEIGHT = 6;
/** Largest time on the network that is believed, as a share of the median latency. */
const FARTHEST = 0.3;
/** Time for which the median is kept, since sorting at each choice would cost too much. */
const MEDIAN_KEPT_MS = 20;

/** Chooses the server with the lowest product of estimated load and estimated latency. */
export class LoadAwarePolicy extends selectionPolicy.SelectionPolicy {
  public readonly name = 'load-aware';

  private medianMs = ASSUMED_LATENCY_MS;

  private medianUntilMs = Number.NEGATIVE_INFINITY;

  public constructor(private readonly random: types.IRandom) {
    super();
  }

  public choose(
    candidates: readonly policyTypes.IServerState[],
    nowMs: number,
  ): policyTypes.IServerState {
    this.refreshMedian(candidates, nowMs);
    let best = candidates[0] as policyTypes.IServerState;
    let lowest = Number.POSITIVE_INFINITY;
    let tied = 0;
    candidates.forEach((server) => {
      const score = this.scoreOf(server, nowMs);
      if (score > lowest) return;
      tied = score === lowest ? tied + 1 : 1;
      lowest = score;
      if (tied === 1 || this.random.nextInteger(tied) === 0) best = server;
    });
    return best;
  }

  public override probeTargets(
    servers: readonly policyTypes.IServerState[],
  ): readonly policyTypes.IServerState[] {
    const [first] = servers;
    if (first === undefined) return [];
    return [
      servers.reduce(
        (stalest, server) => (server.reportedAtMs < stalest.reportedAtMs ? server : stalest),
        first,
      ),
    ];
  }

  private refreshMedian(candidates: readonly policyTypes.IServerState[], nowMs: number): void {
    if (nowMs < this.medianUntilMs) return;
    const known = candidates
      .map((server) => server.latencyMs)
      .filter((latencyMs) => latencyMs !== undefined)
      .sort((left, right) => left - right);
    this.medianMs = known[Math.floor((known.length - 1) / 2)] ?? ASSUMED_LATENCY_MS;
    this.medianUntilMs = nowMs + MEDIAN_KEPT_MS;
  }

  private scoreOf(server: policyTypes.IServerState, nowMs: number): number {
    const load = LoadAwarePolicy.loadOf(server, nowMs);
    const coldness = 1 + COLD_PENALTY * (1 - server.warmth);
    // Few answers may all have been slow. Without the bound and the trust their server, which then
    // gives no answers that could correct the estimate, would get no more calls.
    const fastestMs = Math.min(server.fastestMs ?? 0, FARTHEST * this.medianMs);
    const distance = DISTANCE_WEIGHT * fastestMs * LoadAwarePolicy.trustOf(server, nowMs);
    return ((load + 1) * this.latencyOf(server, nowMs) * coldness + distance) / server.weight;
  }

  private static loadOf(server: policyTypes.IServerState, nowMs: number): number {
    const usual = server.slots * ASSUMED_BUSY;
    const { report, usualReportedLoad } = server;
    // Attempts that were cancelled or failed bring no report, but no longer load the server.
    const started = Math.min(server.startedSinceReport, server.inFlight);
    if (report === undefined || usualReportedLoad === undefined) return usual + started;
    const trust = Math.exp((server.reportedAtMs - nowMs) / REPORT_DECAY_MS);
    // Only the difference from what the server usually reports counts, so that a report that is
    // always the same, true or not, neither attracts calls nor keeps them away.
    const excess = report.inFlight + report.queued - usualReportedLoad;
    return Math.max(0, usual + excess * trust) + started;
  }

  /** How far observed latencies still count, from 1 for new ones to 0. */
  private static trustOf(server: policyTypes.IServerState, nowMs: number): number {
    const ageMs = nowMs - server.latencyAtMs;
    return ageMs > LATENCY_KEPT_MS ? 0 : Math.exp(-ageMs / serverState.LATENCY_DECAY_MS);
  }

  private latencyOf(server: policyTypes.IServerState, nowMs: number): number {
    const seenMs = server.latencyMs ?? this.medianMs;
    const trust = LoadAwarePolicy.trustOf(server, nowMs);
    const latencyMs = this.medianMs + (seenMs - this.medianMs) * trust;
    const oldestMs = server.oldestStartMs === undefined ? 0 : nowMs - server.oldestStartMs;
    const slowestMs = Math.max(latencyMs, oldestMs);
    return slowestMs < SLOW_FACTOR * this.medianMs ? this.medianMs : slowestMs;
  }
}
