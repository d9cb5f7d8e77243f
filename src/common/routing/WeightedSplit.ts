/**
 * Splits requests among targets by smooth weighted round robin: each request adds credit to every
 * target by weight, goes to the target with the most credit and costs that target one credit. The
 * shares hold even over few requests. A target without weight gets none.
 */
export class WeightedSplit {
  private readonly totalWeight: number;

  /** Accumulated credit of each target, as a fraction of the total weight. */
  private readonly credits: number[];

  /** @param startStep Step of the round robin to begin at. */
  public constructor(
    public readonly weights: readonly number[],
    startStep = 0,
  ) {
    this.totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
    this.credits = weights.map(() => 0);
    for (let step = 0; step < startStep; step += 1) this.next();
  }

  /** Returns the index of the target of the next request. */
  public next(): number {
    const { credits } = this;
    let chosen = -1;
    this.weights.forEach((weight, index) => {
      if (weight === 0) return;
      credits[index] = (credits[index] ?? 0) + weight / this.totalWeight;
      if (chosen < 0 || (credits[index] ?? 0) > (credits[chosen] ?? 0)) chosen = index;
    });
    credits[chosen] = (credits[chosen] ?? 0) - 1;
    return chosen;
  }
}
