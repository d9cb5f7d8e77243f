import * as callCoordinator from '../../common/call/CallCoordinator';
import * as serviceBalancer from '../../common/call/ServiceBalancer';
import type * as callTypes from '../../common/call/Types';
import * as prober from '../../common/policy/Prober';
import type * as selectionPolicy from '../../common/policy/SelectionPolicy';
import type * as policyTypes from '../../common/policy/Types';
import * as requestSuspicion from '../../common/suspicion/RequestSuspicion';
import type * as tableTypes from '../../common/table/Types';
import type * as types from '../../common/Types';
import type * as simulatedTransport from './SimulatedTransport';

/** Creates the policy and the probe budget of each service of a daemon. */
export interface IServiceFactory {
  createPolicy(service: tableTypes.IServiceRow): selectionPolicy.SelectionPolicy;
  createBudget(service: tableTypes.IServiceRow): policyTypes.IProbeBudget;
}

interface IService {
  readonly balancer: serviceBalancer.ServiceBalancer;
  readonly prober: prober.Prober;
}

/** A daemon of the virtual bench: the classes of the product on a simulated transport. */
export class SimulatedDaemon {
  public readonly suspicion: requestSuspicion.RequestSuspicion;

  private readonly services = new Map<string, IService>();

  private readonly coordinator: callCoordinator.CallCoordinator;

  public constructor(
    public readonly transport: simulatedTransport.SimulatedTransport,
    factory: IServiceFactory,
    table: tableTypes.ITable,
    ejectsServers: boolean,
    clock: types.IClock,
  ) {
    this.suspicion = new requestSuspicion.RequestSuspicion(clock);
    this.coordinator = new callCoordinator.CallCoordinator(transport, this.suspicion, clock);
    table.services.forEach((service) => {
      const policy = factory.createPolicy(service);
      const balancer = new serviceBalancer.ServiceBalancer(policy, clock, ejectsServers);
      const budget = factory.createBudget(service);
      balancer.update(table, service);
      this.services.set(service.name, {
        balancer,
        prober: new prober.Prober(balancer, policy, budget, transport, clock),
      });
    });
  }

  public get balancers(): readonly serviceBalancer.ServiceBalancer[] {
    return [...this.services.values()].map(({ balancer }) => balancer);
  }

  public start(call: callTypes.ICall, onOutcome: (outcome: callTypes.CallOutcome) => void): void {
    const service = this.services.get(call.service.name);
    if (service === undefined) throw new Error(`unknown service ${call.service.name}`);
    this.coordinator.start(call, service.balancer, onOutcome);
    service.prober.onCallStarted();
  }
}
