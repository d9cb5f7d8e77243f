import type * as types from '../Types';
import type * as routingTypes from './Types';
import * as weightedSplit from './WeightedSplit';

/** Steps of the round robin of a new split, one of which it begins at. */
const START_STEPS = 256;

/**
 * The splits of all routes with several targets. Each begins at a random step: if it began alike on
 * all daemons, the first requests to each of them would follow no weight, and those are many in a
 * large fleet.
 */
export class Splits {
  private byRoute: ReadonlyMap<routingTypes.IRoute, weightedSplit.WeightedSplit> = new Map();

  /** The same splits by host and prefix, by which a later version finds them. */
  private byMatch: ReadonlyMap<string, weightedSplit.WeightedSplit> = new Map();

  public constructor(private readonly random: types.IRandom) {}

  /** Returns the split of one of the current routes, if it has one. */
  public of(route: routingTypes.IRoute): weightedSplit.WeightedSplit | undefined {
    return this.byRoute.get(route);
  }

  /** Sets the routes. The split of a route continues unless its weights change. */
  public update(routes: readonly routingTypes.IRoute[]): void {
    const byRoute = routes
      .filter(({ targets }) => targets.length > 1)
      .map((route) => [route, this.continueOrBegin(route)] as const);
    this.byRoute = new Map(byRoute);
    this.byMatch = new Map(byRoute.map(([route, split]) => [Splits.keyOf(route), split]));
  }

  private continueOrBegin(route: routingTypes.IRoute): weightedSplit.WeightedSplit {
    const weights = route.targets.map(({ weight }) => weight);
    const known = this.byMatch.get(Splits.keyOf(route));
    const isSame = known !== undefined && `${known.weights}` === `${weights}`;
    return isSame ? known : this.begin(weights);
  }

  private begin(weights: readonly number[]): weightedSplit.WeightedSplit {
    const startStep = Math.floor(this.random.next() * START_STEPS);
    return new weightedSplit.WeightedSplit(weights, startStep);
  }

  private static keyOf({ host, prefix }: routingTypes.IRoute): string {
    return `${host} ${prefix}`;
  }
}
