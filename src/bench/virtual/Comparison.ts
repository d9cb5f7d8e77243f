import * as simulation from './Simulation';
import type * as benchTypes from './Types';

/** Policies that send no probes, against which the others are compared. */
export const BASELINES: readonly string[] = [
  'random',
  'round-robin',
  'two-choices',
  'least-in-flight',
];

/** Runs of one scenario under the evaluated policy, the baselines, probing and the oracle. */
export interface IComparison {
  /** Results by policy name. The evaluated policy comes first. */
  readonly results: ReadonlyMap<string, benchTypes.IRunResult>;
  readonly policy: string;
  readonly bestBaseline: string;
  /** p99 of the policy as a fraction of the best baseline's. */
  readonly p99Ratio: number;
  /** Share of the gap between the best baseline's p99 and the oracle's that the policy closes. */
  readonly gapClosed: number;
}

function figuresOf(
  results: ReadonlyMap<string, benchTypes.IRunResult>,
  name: string,
): benchTypes.IPolicyFigures {
  const result = results.get(name);
  if (result === undefined) throw new Error(`no result for policy ${name}`);
  return result.figures;
}

/** Runs every policy of the comparison with the same calls and faults. */
export function compare(options: benchTypes.ISimulationOptions): IComparison {
  const names = [...new Set([options.policy, 'probing', 'oracle', ...BASELINES])];
  const results = new Map(
    names.map((policy) => [policy, new simulation.Simulation({ ...options, policy }).run()]),
  );
  const p99Of = (name: string): number => figuresOf(results, name).p99Ms;
  const bestBaseline = BASELINES.reduce((best, name) => (p99Of(name) < p99Of(best) ? name : best));
  const baselineMs = p99Of(bestBaseline);
  const policyMs = p99Of(options.policy);
  const p99Ratio = Number((policyMs / baselineMs).toFixed(4));
  const gapMs = baselineMs - p99Of('oracle');
  const gapClosed = Number(((baselineMs - policyMs) / gapMs).toFixed(4));
  return { results, policy: options.policy, bestBaseline, p99Ratio, gapClosed };
}

/** Returns the comparison as one JSON value, for the last line of the output. */
export function toJson(options: benchTypes.ISimulationOptions, comparison: IComparison): object {
  const { results, policy, bestBaseline, p99Ratio, gapClosed } = comparison;
  return {
    scenario: options.scenario.name,
    company: options.company.name,
    seed: options.seed,
    policy,
    bestBaseline,
    p99Ratio,
    gapClosed,
    policyResult: figuresOf(results, policy),
    probing: figuresOf(results, 'probing'),
    oracle: figuresOf(results, 'oracle'),
    baselines: Object.fromEntries(BASELINES.map((name) => [name, figuresOf(results, name)])),
  };
}
