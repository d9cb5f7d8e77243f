import * as companies from './Companies';
import * as comparison from './Comparison';
import * as scenarios from './Scenarios';
import * as simulation from './Simulation';
import type * as benchTypes from './Types';

function optionsOf(scenario: string, policy: string, seed = 1): benchTypes.ISimulationOptions {
  return {
    scenario: scenarios.SCENARIOS.get(scenario) as benchTypes.IScenario,
    company: companies.COMPANIES.get('ogunleye') as benchTypes.ICompany,
    policy,
    seed,
    durationMs: 5_000,
    probesPerSecond: 170,
    allFeatures: false,
  };
}

function figuresOf(scenario: string, policy: string): benchTypes.IPolicyFigures {
  return new simulation.Simulation(optionsOf(scenario, policy)).run().figures;
}

test('the same seed gives the same output, another seed gives different output', () => {
  const textOf = (seed: number): string => {
    const options = optionsOf('noisy', 'load-aware', seed);
    return JSON.stringify(comparison.toJson(options, comparison.compare(options)));
  };
  expect(textOf(1)).toBe(textOf(1));
  expect(textOf(1)).not.toBe(textOf(2));
});

test('all policies get the same number of calls', () => {
  const policies = ['random', 'round-robin', 'probing', 'load-aware', 'oracle'];
  const calls = policies.map((policy) => figuresOf('steady', policy).calls);
  expect(new Set(calls).size).toBe(1);
});

test.each([...scenarios.SCENARIOS.keys()])(
  'load-aware stays within the probe budget in %s and returns no answer after its deadline',
  (name) => {
    const figures = figuresOf(name, 'load-aware');
    expect(figures.calls).toBeGreaterThan(100);
    expect(figures.maxProbesInOneSecond).toBeLessThanOrEqual(170);
    expect(figures.answeredLate).toBe(0);
    expect(figures.answered + figures.refusedNotRun + figures.late).toBe(figures.calls);
  },
);
