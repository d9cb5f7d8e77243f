import * as selectionPolicy from '../../common/policy/SelectionPolicy';
import type * as policyTypes from '../../common/policy/Types';
import type * as types from '../../common/Types';
import type * as simulatedNetwork from './SimulatedNetwork';

/** Mean work of a prompt call, which the oracle knows. */
const MEAN_WORK_MS = 10;
const REFUSING_COST_MS = 1e9;

/** Chooses by the true queue and speed of every server, calls on their way included. */
export class OraclePolicy extends selectionPolicy.SelectionPolicy {
  public readonly name = 'oracle';

  public constructor(
    private readonly network: simulatedNetwork.SimulatedNetwork,
    private readonly failureDomain: string,
    private readonly random: types.IRandom,
  ) {
    super();
  }

  public choose(candidates: readonly policyTypes.IServerState[]): policyTypes.IServerState {
    const costs = candidates.map((server) => this.expectedMs(server));
    const lowest = Math.min(...costs);
    const tied = candidates.filter((_server, index) => costs[index] === lowest);
    return tied[this.random.nextInteger(tied.length)] as policyTypes.IServerState;
  }

  private expectedMs(state: policyTypes.IServerState): number {
    const server = this.network.serverAt(state.address);
    const latencyMs = this.network.latencyMs(this.failureDomain, state.failureDomain);
    const cut = this.network.isPartitioned(this.failureDomain, state.failureDomain);
    const load = server.load + this.network.inTransitTo(state.address);
    const ahead = Math.max(0, load + 1 - state.slots);
    const workMs = MEAN_WORK_MS / server.relativeSpeed;
    const refusingMs = server.accepts && !cut ? 0 : REFUSING_COST_MS;
    return refusingMs + 2 * latencyMs + workMs * (1 + ahead / state.slots);
  }
}
