import * as companies from './Companies';
import * as scenarios from './Scenarios';
import * as simulation from './Simulation';
import type * as benchTypes from './Types';

const SECONDS = 6;

/** Lowest goodput at an offered load of twice the capacity, as a share of the capacity. */
const LOWEST_GOODPUT = 0.9;

/** Largest p99 after an overload relative to a run without one. */
const HIGHEST_RATIO = 1.1;

function run(scenario: benchTypes.IScenario | undefined): benchTypes.IPolicyFigures {
  const company = companies.COMPANIES.get('ogunleye');
  if (scenario === undefined || company === undefined) throw new Error('unknown scenario');
  return new simulation.Simulation({
    scenario,
    company,
    policy: 'load-aware',
    seed: 1,
    durationMs: SECONDS * 1_000,
    probesPerSecond: 34,
    allFeatures: false,
  }).run().figures;
}

// Guards against congestion collapse, where servers work on calls whose callers have given up.
test('at twice the capacity, goodput is at least 0.9 of the capacity and no answer is late', () => {
  const figures = run(scenarios.SCENARIOS.get('overload'));
  expect((2 * figures.answered) / figures.calls).toBeGreaterThanOrEqual(LOWEST_GOODPUT);
  expect(figures.answeredLate).toBe(0);
});

// Guards against a metastable overload that retries and queues sustain after the load has fallen.
test('the p99 is back to normal two seconds after an overload', () => {
  const after = run(scenarios.SCENARIOS.get('recovery'));
  const normal = run({ name: 'normal', utilization: 0.5 });
  expect(after.p99Ms).toBeLessThanOrEqual(HIGHEST_RATIO * normal.p99Ms);
  expect(after.answered).toBe(after.calls);
});
