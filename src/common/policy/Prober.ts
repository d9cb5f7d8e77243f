import type * as serviceBalancer from '../call/ServiceBalancer';
import type * as callTypes from '../call/Types';
import type * as types from '../Types';
import type * as selectionPolicy from './SelectionPolicy';
import type * as serverState from './ServerState';
import type * as policyTypes from './Types';

/** Time after which a probe counts as unanswered. */
const PROBE_TIMEOUT_MS = 500;

/** Sends the probes that the policy asks for, as far as the budget allows. */
export class Prober {
  public constructor(
    private readonly balancer: serviceBalancer.ServiceBalancer,
    private readonly policy: selectionPolicy.SelectionPolicy,
    private readonly budget: policyTypes.IProbeBudget,
    private readonly transport: callTypes.IBackendTransport,
    private readonly clock: types.IClock,
  ) {}

  /** To be called after each call has begun. */
  public onCall(): void {
    if (!this.budget.hasFree) return;
    const { servers } = this.balancer;
    const targets = this.policy.probeTargets(servers, this.clock.monotonicMs());
    targets.forEach((target) => {
      const server = servers.find((state) => state.address === target.address);
      if (server !== undefined) this.probe(server);
    });
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
      server.recordReport(report, nowMs);
      this.policy.recordProbe(server, nowMs);
    });
  }
}
