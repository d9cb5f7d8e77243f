import type * as types from '../Types';
import * as leastInFlightPolicy from './LeastInFlightPolicy';
import * as loadAwarePolicy from './LoadAwarePolicy';
import * as probingPolicy from './ProbingPolicy';
import * as randomPolicy from './RandomPolicy';
import * as roundRobinPolicy from './RoundRobinPolicy';
import type * as selectionPolicy from './SelectionPolicy';
import * as twoChoicesPolicy from './TwoChoicesPolicy';

type Factory = (random: types.IRandom) => selectionPolicy.SelectionPolicy;

const FACTORIES: ReadonlyMap<string, Factory> = new Map<string, Factory>([
  ['random', (random) => new randomPolicy.RandomPolicy(random)],
  ['round-robin', (random) => new roundRobinPolicy.RoundRobinPolicy(random)],
  ['two-choices', (random) => new twoChoicesPolicy.TwoChoicesPolicy(random)],
  ['least-in-flight', (random) => new leastInFlightPolicy.LeastInFlightPolicy(random)],
  ['probing', (random) => new probingPolicy.ProbingPolicy(random)],
  ['load-aware', (random) => new loadAwarePolicy.LoadAwarePolicy(random)],
]);

export const DEFAULT_POLICY = 'load-aware';

/** Policy names that the settings accept. */
export const POLICY_NAMES: readonly string[] = [...FACTORIES.keys()];

/** Creates the policy `name`. Settings are validated earlier, so an unknown name is a bug. */
export function createPolicy(name: string, random: types.IRandom): selectionPolicy.SelectionPolicy {
  const factory = FACTORIES.get(name);
  if (factory === undefined) throw new Error(`unknown selection policy: ${name}`);
  return factory(random);
}
