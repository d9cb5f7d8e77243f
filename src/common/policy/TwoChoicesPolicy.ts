import type * as types from '../Types';
import * as selectionPolicy from './SelectionPolicy';
import type * as policyTypes from './Types';

/** Power of two choices: selects the one of two random servers with fewer attempts in flight. */
export class TwoChoicesPolicy extends selectionPolicy.SelectionPolicy {
  public readonly name = 'two-choices';

  public constructor(private readonly random: types.IRandom) {
    super();
  }

  public choose(candidates: readonly policyTypes.IServerState[]): policyTypes.IServerState {
    const firstIndex = this.random.nextInteger(candidates.length);
    const first = candidates[firstIndex] as policyTypes.IServerState;
    if (candidates.length === 1) return first;
    const offset = 1 + this.random.nextInteger(candidates.length - 1);
    const second = candidates[(firstIndex + offset) % candidates.length];
    return second !== undefined && second.inFlight < first.inFlight ? second : first;
  }
}
