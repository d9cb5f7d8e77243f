import * as selectionPolicy from '../../common/policy/SelectionPolicy';
import type * as policyTypes from '../../common/policy/Types';
import type * as types from '../../common/Types';
import type * as simulatedNetwork from './SimulatedNetwork';

/** Mean service time of a prompt call. */
const MEAN_WORK_MS = 10;
const UNAVAILABLE_COST_MS = 1e9;

/** Selects by the actual queue and speed of every server, including requests in transit. */
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
    const latenciesMs = candidates.map((server) => this.expectedLatencyMs(server));
    const lowestMs = Math.min(...latenciesMs);
    const tied = candidates.filter((_server, index) => latenciesMs[index] === lowestMs);
    return tied[this.random.nextInteger(tied.length)] as policyTypes.IServerState;
  }

  private expectedLatencyMs(state: policyTypes.IServerState): number {
    const server = this.network.serverAt(state.address);
    const latencyMs = this.network.latencyMs(this.failureDomain, state.failureDomain);
    const isPartitioned = this.network.isPartitioned(this.failureDomain, state.failureDomain);
    const load = server.load + this.network.inTransitTo(state.address);
    const waiting = Math.max(0, load + 1 - state.slots);
    const workMs = MEAN_WORK_MS / server.relativeSpeed;
    const unavailableMs = server.accepts && !isPartitioned ? 0 : UNAVAILABLE_COST_MS;
    return unavailableMs + 2 * latencyMs + workMs * (1 + waiting / state.slots);
  }
}
