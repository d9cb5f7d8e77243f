import type * as types from '../Types';
import * as selectionPolicy from './SelectionPolicy';
import * as serverState from './ServerState';
import type * as policyTypes from './Types';

/** Time constant of the decay of a load report, in milliseconds. */
const REPORT_DECAY_MS = 30;
/** Assumed slot utilization of a server without load reports. */
const ASSUMED_UTILIZATION = 0.7;
const ASSUMED_LATENCY_MS = 10;
/** Below this multiple of the median, latency depends more on the work than on the server. */
const SLOW_FACTOR = 2;
/**
 * Age above which an observed latency is ignored. A latency of hundreds of medians would otherwise
 * keep a recovered server without work for more than 10 s.
 */
const MAX_LATENCY_AGE_MS = 5_000;
/**
 * Relative increase of the score of a server at the beginning of its slow start. Dividing the score
 * by the warmth instead makes the daemons shed calls when ejections follow each other.
 */
const WARM_UP_PENALTY = 0.25;
/** Weight of the network time, which affects every call, while load affects only some. */
const NETWORK_TIME_WEIGHT = 6;
/** Upper bound of the estimated network time, as a fraction of the median latency. */
const MAX_NETWORK_SHARE = 0.3;
/** Time for which the median is cached; sorting at each selection would cost too much. */
const MEDIAN_TTL_MS = 20;

/** Selects the server with the lowest product of estimated load and estimated latency. */
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
    // If a server's few answers were all slow, the upper bound and the decaying confidence let it
    // receive calls again; without them no new answer would ever correct the estimate.
    const fastestMs = Math.min(server.fastestMs ?? 0, MAX_NETWORK_SHARE * this.medianMs);
    const networkCost =
      NETWORK_TIME_WEIGHT * fastestMs * LoadAwarePolicy.latencyConfidence(server, nowMs);
    return ((load + 1) * this.latencyOf(server, nowMs) * penalty + networkCost) / server.weight;
  }

  private static loadOf(server: policyTypes.IServerState, nowMs: number): number {
    const expectedLoad = server.slots * ASSUMED_UTILIZATION;
    const { report, usualReportedLoad } = server;
    // Cancelled and failed attempts bring no report, but no longer load the server.
    const started = Math.min(server.startedSinceReport, server.inFlight);
    if (report === undefined || usualReportedLoad === undefined) return expectedLoad + started;
    const confidence = Math.exp((server.reportedAtMs - nowMs) / REPORT_DECAY_MS);
    // Only the deviation from the average report counts, so that a server that always reports the
    // same load, correct or not, neither attracts nor repels calls.
    const excess = report.inFlight + report.queued - usualReportedLoad;
    return Math.max(0, expectedLoad + excess * confidence) + started;
  }

  /** Returns the weight of an observed latency by its age, from 1 for a new one down to 0. */
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
