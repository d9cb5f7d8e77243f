import type * as types from '../Types';
import * as selectionPolicy from './SelectionPolicy';
import * as serverState from './ServerState';
import type * as policyTypes from './Types';

/** Time constant by which a load report loses its weight. */
const REPORT_DECAY_MS = 30;
/** Share of the slots that an unknown server is expected to have in use. */
const ASSUMED_UTILIZATION = 0.7;
const ASSUMED_LATENCY_MS = 10;
/** Latencies below this multiple of the median say more of the work than of the server. */
const SLOW_FACTOR = 2;
/**
 * Age from which on an observed latency no longer counts. A latency of hundreds of medians would
 * otherwise keep a server that is fast again without work for more than 10 s.
 */
const MAX_LATENCY_AGE_MS = 5_000;
/**
 * Addition to the score of a server that has just come back, as a fraction. Dividing the score by
 * the warmth instead makes the daemons shed calls when ejections follow each other.
 */
const WARM_UP_PENALTY = 0.25;
/** Weight of the time on the network, which every call pays, against a load that most do not. */
const NETWORK_TIME_WEIGHT = 6;
/** Largest time on the network that is believed, as a share of the median latency. */
const MAX_NETWORK_SHARE = 0.3;
/** Time for which the median is kept, since sorting at each choice would cost too much. */
const MEDIAN_TTL_MS = 20;

/** Chooses the server with the lowest product of estimated load and estimated latency. */
export class LoadAwarePolicy extends selectionPolicy.SelectionPolicy {
  public readonly name = 'load-aware';

  private medianMs = ASSUMED_LATENCY_MS;

  private medianExpiresAtMs = Number.NEGATIVE_INFINITY;

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
    if (nowMs < this.medianExpiresAtMs) return;
    const known = candidates
      .map((server) => server.latencyMs)
      .filter((latencyMs) => latencyMs !== undefined)
      .sort((left, right) => left - right);
    this.medianMs = known[Math.floor((known.length - 1) / 2)] ?? ASSUMED_LATENCY_MS;
    this.medianExpiresAtMs = nowMs + MEDIAN_TTL_MS;
  }

  private scoreOf(server: policyTypes.IServerState, nowMs: number): number {
    const load = LoadAwarePolicy.loadOf(server, nowMs);
    const penalty = 1 + WARM_UP_PENALTY * (1 - server.warmth);
    // Few answers may all have been slow. Without the bound and the trust their server, which then
    // gives no answers that could correct the estimate, would get no more calls.
    const fastestMs = Math.min(server.fastestMs ?? 0, MAX_NETWORK_SHARE * this.medianMs);
    const networkCost =
      NETWORK_TIME_WEIGHT * fastestMs * LoadAwarePolicy.latencyConfidence(server, nowMs);
    return ((load + 1) * this.latencyOf(server, nowMs) * penalty + networkCost) / server.weight;
  }

  private static loadOf(server: policyTypes.IServerState, nowMs: number): number {
    const expectedLoad = server.slots * ASSUMED_UTILIZATION;
    const { report, usualReportedLoad } = server;
    // Attempts that were cancelled or failed bring no report, but no longer load the server.
    const started = Math.min(server.startedSinceReport, server.inFlight);
    if (report === undefined || usualReportedLoad === undefined) return expectedLoad + started;
    const confidence = Math.exp((server.reportedAtMs - nowMs) / REPORT_DECAY_MS);
    // Only the difference from what the server usually reports counts, so that a report that is
    // always the same, true or not, neither attracts calls nor keeps them away.
    const excess = report.inFlight + report.queued - usualReportedLoad;
    return Math.max(0, expectedLoad + excess * confidence) + started;
  }

  /** How far observed latencies still count, from 1 for new ones to 0. */
  private static latencyConfidence(server: policyTypes.IServerState, nowMs: number): number {
    const ageMs = nowMs - server.latencyAtMs;
    return ageMs > MAX_LATENCY_AGE_MS ? 0 : Math.exp(-ageMs / serverState.LATENCY_DECAY_MS);
  }

  private latencyOf(server: policyTypes.IServerState, nowMs: number): number {
    const observedMs = server.latencyMs ?? this.medianMs;
    const confidence = LoadAwarePolicy.latencyConfidence(server, nowMs);
    const latencyMs = this.medianMs + (observedMs - this.medianMs) * confidence;
    const oldestMs = server.oldestStartMs === undefined ? 0 : nowMs - server.oldestStartMs;
    const slowestMs = Math.max(latencyMs, oldestMs);
    return slowestMs < SLOW_FACTOR * this.medianMs ? this.medianMs : slowestMs;
  }
}
