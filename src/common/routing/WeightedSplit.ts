import type * as types from '../Types';

/** Position of a split: credit that each target has collected, as fractions of all weights. */
export interface ISplitPosition {
  credits: number[];
}

/**
 * Divides requests among targets by weight. Each target collects credit by its weight, and the
 * richest one pays for a request, so that the shares are kept over any few requests.
 */
export class WeightedSplit {
  private readonly total: number;

  public constructor(
    private readonly weights: readonly number[],
    private readonly position: ISplitPosition,
  ) {
    this.total = weights.reduce((sum, weight) => sum + weight, 0);
  }

  /** Returns the index of the target of the next request. */
  public next(): number {
    if (this.weights.length === 1) return 0;
    const { credits } = this.position;
    if (credits.length !== this.weights.length) {
      this.position.credits = this.weights.map((_, index) => credits[index] ?? 0);
    }
    let chosen = 0;
    this.weights.forEach((weight, index) => {
      this.position.credits[index] = (this.position.credits[index] ?? 0) + weight / this.total;
      const isRicher =
        (this.position.credits[index] ?? 0) > (this.position.credits[chosen] ?? 0) && weight > 0;
      if (isRicher) chosen = index;
    });
    this.position.credits[chosen] = (this.position.credits[chosen] ?? 0) - 1;
    return chosen;
  }
}

/** The positions of all splits, which outlive the versions of the configuration. */
export class SplitPositions {
  private readonly positions = new Map<string, ISplitPosition>();

  public constructor(private readonly random: types.IRandom) {}

  /** The position of a route's split. A new one starts at random, so that daemons differ. */
  public positionOf(route: string): ISplitPosition {
    const known = this.positions.get(route);
    if (known !== undefined) return known;
    const position = { credits: [this.random.next() - 0.5] };
    this.positions.set(route, position);
    return position;
  }
}
