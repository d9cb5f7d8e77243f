import type * as types from '../Types';
import * as selectionPolicy from './SelectionPolicy';
import type * as policyTypes from './Types';

/** Time constant by which a load report loses its weight. */
const REPORT_DECAY_MS = 30;
/** Share of the slots that an unknown server is expected to have in use. */
const ASSUMED_BUSY = 0.7;
const ASSUMED_LATENCY_MS = 10;

/** Chooses the server with the lowest product of estimated load and estimated latency. */
export class LoadAwarePolicy extends selectionPolicy.SelectionPolicy {
  public readonly name = 'load-aware';

  public constructor(private readonly random: types.IRandom) {
    super();
  }

  public choose(
    candidates: readonly policyTypes.IServerState[],
    nowMs: number,
  ): policyTypes.IServerState {
    const scores = candidates.map((server) => LoadAwarePolicy.scoreOf(server, nowMs));
    const lowest = Math.min(...scores);
    const tied = candidates.filter((_server, index) => scores[index] === lowest);
    return tied[this.random.nextInteger(tied.length)] as policyTypes.IServerState;
  }

  public override probeTargets(
    servers: readonly policyTypes.IServerState[],
  ): readonly policyTypes.IServerState[] {
    return [...servers].sort((left, right) => left.reportedAtMs - right.reportedAtMs).slice(0, 1);
  }

  private static scoreOf(server: policyTypes.IServerState, nowMs: number): number {
    const ageMs = nowMs - server.reportedAtMs;
    const trust = Math.exp(-ageMs / REPORT_DECAY_MS);
    const usual = server.slots * ASSUMED_BUSY;
    const reported =
      server.report === undefined ? usual : server.report.inFlight + server.report.queued;
    const load = usual + (reported - usual) * trust + server.startedSinceReport;
    const oldestMs = server.oldestStartMs === undefined ? 0 : nowMs - server.oldestStartMs;
    const latencyMs = Math.max(server.latencyMs ?? ASSUMED_LATENCY_MS, oldestMs);
    return ((load + 1) * latencyMs) / (server.weight * server.warmth);
  }
}
