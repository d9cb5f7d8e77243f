import type * as types from '../Types';

/** Position of a split: credit that each target has collected, as fractions of all weights. */
export interface ISplitState {
  credits: number[];
}

/**
 * Divides requests among targets by weight. Each target collects credit by its weight, and the
 * richest one pays for a request, so that the shares are kept over any few requests.
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

/** The positions of all splits, which outlive the versions of the configuration. */
export class SplitStates {
  private readonly states = new Map<string, ISplitState>();

  public constructor(private readonly random: types.IRandom) {}

  /** The position of a route's split. A new one starts at random, so that daemons differ. */
  public stateOf(route: string): ISplitState {
    const existing = this.states.get(route);
    if (existing !== undefined) return existing;
    const state = { credits: [this.random.next() - 0.5] };
    this.states.set(route, state);
    return state;
  }
}
