import type * as types from '../Types';

/** State of a split: accumulated credit of each target, as a fraction of the total weight. */
export interface ISplitState {
  credits: number[];
}

/**
 * Splits requests among targets by smooth weighted round robin: each request adds credit to every
 * target by weight, goes to the target with the most credit and costs that target one credit. The
 * shares hold even over few requests.
 */
export class WeightedSplit {
  private readonly totalWeight: number;

  public constructor(
    private readonly weights: readonly number[],
    private readonly state: ISplitState,
  ) {
    this.totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
  }

  /** Returns the index of the target of the next request. */
  public next(): number {
    if (this.weights.length === 1) return 0;
    const { credits } = this.state;
    if (credits.length !== this.weights.length) {
      this.state.credits = this.weights.map((_, index) => credits[index] ?? 0);
    }
    let chosen = 0;
    this.weights.forEach((weight, index) => {
      this.state.credits[index] = (this.state.credits[index] ?? 0) + weight / this.totalWeight;
      const hasMoreCredit =
        (this.state.credits[index] ?? 0) > (this.state.credits[chosen] ?? 0) && weight > 0;
      if (hasMoreCredit) chosen = index;
    });
    this.state.credits[chosen] = (this.state.credits[chosen] ?? 0) - 1;
    return chosen;
  }
}

/** States of all splits, kept across versions of the configuration. */
export class SplitStates {
  private readonly states = new Map<string, ISplitState>();

  public constructor(private readonly random: types.IRandom) {}

  /** Returns the state of a route's split; a new one has random credit, so that daemons differ. */
  public stateOf(route: string): ISplitState {
    const existing = this.states.get(route);
    if (existing !== undefined) return existing;
    const state = { credits: [this.random.next() - 0.5] };
    this.states.set(route, state);
    return state;
  }
}
