import * as policyFactory from '../../common/policy/PolicyFactory';
import type * as selectionPolicy from '../../common/policy/SelectionPolicy';
import type * as policyTypes from '../../common/policy/Types';
import type * as tableTypes from '../../common/table/Types';
import type * as types from '../../common/Types';
import * as oraclePolicy from './OraclePolicy';
import * as permitBudget from './PermitBudget';
import * as simulatedDaemon from './SimulatedDaemon';
import type * as simulatedNetwork from './SimulatedNetwork';
import * as simulatedTransport from './SimulatedTransport';
import type * as benchTypes from './Types';

/** Whether the daemons hedge and eject servers, or only select one and retry. */
export function hasAllFeatures(options: benchTypes.ISimulationOptions): boolean {
  return options.allFeatures || options.policy === policyFactory.DEFAULT_POLICY;
}

/** Whether the policy has a probe budget. `probing` (Prequal) sends three probes for each call. */
export function hasProbeBudget(options: benchTypes.ISimulationOptions): boolean {
  return options.policy !== 'probing';
}

/** Creates the daemons of one simulation. */
export class DaemonFactory {
  public constructor(
    private readonly options: benchTypes.ISimulationOptions,
    private readonly table: tableTypes.ITable,
    private readonly network: simulatedNetwork.SimulatedNetwork,
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
    private readonly traffic: simulatedTransport.ITraffic,
  ) {}

  public create(failureDomain: string): simulatedDaemon.SimulatedDaemon {
    const { network, clock } = this;
    const transport = new simulatedTransport.SimulatedTransport(
      failureDomain,
      network,
      clock,
      this.traffic,
    );
    const serviceFactory = {
      createPolicy: () => this.createPolicy(failureDomain),
      createBudget: (service: tableTypes.IServiceRow) => this.createBudget(service),
    };
    return new simulatedDaemon.SimulatedDaemon(
      transport,
      serviceFactory,
      this.table,
      hasAllFeatures(this.options),
      clock,
    );
  }

  private createPolicy(failureDomain: string): selectionPolicy.SelectionPolicy {
    if (this.options.policy === 'oracle') {
      return new oraclePolicy.OraclePolicy(this.network, failureDomain, this.random);
    }
    return policyFactory.createPolicy(this.options.policy, this.random);
  }

  private createBudget(service: tableTypes.IServiceRow): policyTypes.IProbeBudget {
    if (!hasProbeBudget(this.options)) return new permitBudget.UnlimitedBudget();
    const share = Math.floor(service.probesPerSecond / this.table.maxDaemons);
    return new permitBudget.PermitBudget(share, this.clock);
  }
}
