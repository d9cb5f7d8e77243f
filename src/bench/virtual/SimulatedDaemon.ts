import * as callCoordinator from '../../common/call/CallCoordinator';
import * as serviceBalancer from '../../common/call/ServiceBalancer';
import type * as callTypes from '../../common/call/Types';
import * as prober from '../../common/policy/Prober';
import type * as selectionPolicy from '../../common/policy/SelectionPolicy';
import type * as policyTypes from '../../common/policy/Types';
import type * as tableTypes from '../../common/table/Types';
import type * as types from '../../common/Types';
import type * as simulatedTransport from './SimulatedTransport';

/** One daemon process of the virtual bench: the product's own classes on a simulated transport. */
export class SimulatedDaemon {
  private readonly balancer: serviceBalancer.ServiceBalancer;

  private readonly coordinator: callCoordinator.CallCoordinator;

  private readonly prober: prober.Prober;

  public constructor(
    public readonly transport: simulatedTransport.SimulatedTransport,
    policy: selectionPolicy.SelectionPolicy,
    budget: policyTypes.IProbeBudget,
    rows: readonly tableTypes.IServerRow[],
    clock: types.IClock,
  ) {
    this.balancer = new serviceBalancer.ServiceBalancer(policy, clock);
    this.balancer.update(rows);
    this.coordinator = new callCoordinator.CallCoordinator(transport, clock);
    this.prober = new prober.Prober(this.balancer, policy, budget, transport, clock);
  }

  public start(call: callTypes.ICall, onOutcome: (outcome: callTypes.CallOutcome) => void): void {
    this.coordinator.start(call, this.balancer, onOutcome);
    this.prober.onCall();
  }
}
