import type * as types from '../Types';
import * as selectionPolicy from './SelectionPolicy';
import type * as policyTypes from './Types';

/** Selects a server uniformly at random. */
export class RandomPolicy extends selectionPolicy.SelectionPolicy {
  public readonly name = 'random';

  public constructor(private readonly random: types.IRandom) {
    super();
  }

  public choose(candidates: readonly policyTypes.IServerState[]): policyTypes.IServerState {
    return candidates[this.random.nextInteger(candidates.length)] as policyTypes.IServerState;
  }
}
