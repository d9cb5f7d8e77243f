import type * as serviceBalancer from '../call/ServiceBalancer';
import type * as callTypes from '../call/Types';
import type * as types from '../Types';
import type * as selectionPolicy from './SelectionPolicy';
import type * as serverState from './ServerState';
import type * as policyTypes from './Types';

/** Timeout of a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 500;

/** Interval between probes that check whether a leaving server is ready again, in milliseconds. */
const READMISSION_PROBE_INTERVAL_MS = 500;

/** Sends the probes that the policy requests, within the probe budget. */
export class Prober {
  private readonly lastReadmissionProbeMs = new Map<string, number>();

  public constructor(
    private readonly balancer: serviceBalancer.ServiceBalancer,
    private readonly policy: selectionPolicy.SelectionPolicy,
    private readonly budget: policyTypes.IProbeBudget,
    private readonly transport: callTypes.IBackendTransport,
    private readonly clock: types.IClock,
  ) {}

  /** Sends the probes that are due. Must be called after the start of each call. */
  public onCallStarted(): void {
    if (!this.budget.hasFree) return;
    const { states } = this.balancer;
    const nowMs = this.clock.monotonicMs();
    const targets = [
      ...states.filter((state) => this.isReadmissionProbeDue(state, nowMs)),
      ...this.policy.probeTargets(states, nowMs),
    ];
    targets.forEach((target) => {
      const server = states.find((state) => state.address === target.address);
      if (server !== undefined) this.probe(server);
    });
  }

  /**
   * Whether a probe of a leaving server is due; records the time if so. Such a server is used again
   * only after it reports ready.
   */
  private isReadmissionProbeDue(state: serverState.ServerState, nowMs: number): boolean {
    if (this.balancer.avoidanceOf(state.address) !== 'leaving') return false;
    const lastProbeMs = this.lastReadmissionProbeMs.get(state.address) ?? Number.NEGATIVE_INFINITY;
    if (nowMs - lastProbeMs < READMISSION_PROBE_INTERVAL_MS) return false;
    this.lastReadmissionProbeMs.set(state.address, nowMs);
    return true;
  }

  private probe(server: serverState.ServerState): void {
    const permit = this.budget.take();
    if (permit === undefined) return;
    this.transport.probe(server.row, PROBE_TIMEOUT_MS, (report) => {
      if (report === undefined) {
        permit.timedOut();
        return;
      }
      permit.replied();
      const nowMs = this.clock.monotonicMs();
      this.balancer.recordReport(server.address, report);
      this.policy.recordProbe(server, nowMs);
    });
  }
}
