import * as companies from './Companies';
import * as scenarios from './Scenarios';
import * as simulation from './Simulation';
import type * as benchTypes from './Types';

const SECONDS = 6;

/** Share of the capacity that has to be answered under twice the capacity. */
const LOWEST_GOODPUT = 0.9;

/** Latency after an overload, relative to a run without one, that counts as back to normal. */
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

// Guards against a collapse in which servers are busy with calls that nobody waits for any more.
test('twice the capacity leaves nine tenths of the capacity, and no late answer', () => {
  const figures = run(scenarios.SCENARIOS.get('overload'));
  expect((2 * figures.answered) / figures.calls).toBeGreaterThanOrEqual(LOWEST_GOODPUT);
  expect(figures.answeredLate).toBe(0);
});

// Guards against an overload that feeds itself by its retries and queues after the load fell.
test('two seconds after an overload the latency is normal again', () => {
  const after = run(scenarios.SCENARIOS.get('recovery'));
  const normal = run({ name: 'normal', utilization: 0.5 });
  expect(after.p99Ms).toBeLessThanOrEqual(HIGHEST_RATIO * normal.p99Ms);
  expect(after.answered).toBe(after.calls);
});
