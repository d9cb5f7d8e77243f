import type * as types from '../Types';
import * as selectionPolicy from './SelectionPolicy';
import type * as policyTypes from './Types';

/** Selects the server with the fewest attempts of this daemon in flight, at random among equals. */
export class LeastInFlightPolicy extends selectionPolicy.SelectionPolicy {
  public readonly name = 'least-in-flight';

  public constructor(private readonly random: types.IRandom) {
    super();
  }

  public choose(candidates: readonly policyTypes.IServerState[]): policyTypes.IServerState {
    const lowest = Math.min(...candidates.map((server) => server.inFlight));
    const tied = candidates.filter((server) => server.inFlight === lowest);
    return tied[this.random.nextInteger(tied.length)] as policyTypes.IServerState;
  }
}
