import type * as types from '../Types';
import * as selectionPolicy from './SelectionPolicy';
import type * as policyTypes from './Types';

/** Selects the servers in turn, starting at a random one. */
export class RoundRobinPolicy extends selectionPolicy.SelectionPolicy {
  public readonly name = 'round-robin';

  private position: number | undefined;

  public constructor(private readonly random: types.IRandom) {
    super();
  }

  public choose(candidates: readonly policyTypes.IServerState[]): policyTypes.IServerState {
    const start = this.position ?? this.random.nextInteger(candidates.length);
    this.position = start + 1;
    return candidates[start % candidates.length] as policyTypes.IServerState;
  }
}
