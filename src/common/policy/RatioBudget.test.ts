import * as fastCheck from 'fast-check';

import * as manualClock from '../ManualClock';
import * as ratioBudget from './RatioBudget';

test('grants at most the fraction, the initial permit and the minimum rate', () => {
  const step = fastCheck.record({
    deposits: fastCheck.integer({ min: 0, max: 50 }),
    takes: fastCheck.integer({ min: 0, max: 20 }),
    elapsedMs: fastCheck.integer({ min: 0, max: 5_000 }),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(step, { maxLength: 30 }), (steps) => {
      const clock = new manualClock.ManualClock();
      const budget = new ratioBudget.RatioBudget(0.1, clock);
      let deposits = 0;
      let granted = 0;
      steps.forEach(({ deposits: count, takes, elapsedMs }) => {
        clock.advance(elapsedMs);
        for (let index = 0; index < count; index += 1) budget.deposit();
        deposits += count;
        for (let index = 0; index < takes; index += 1) granted += budget.take() ? 1 : 0;
      });
      const allowed = 1 + deposits * 0.1 + clock.monotonicMs() / 10_000;
      expect(granted).toBeLessThanOrEqual(allowed + 1e-6);
    }),
    { seed: 7, numRuns: 200 },
  );
});

test('grants nothing when the table sets the fraction to zero', () => {
  const clock = new manualClock.ManualClock();
  const budget = new ratioBudget.RatioBudget(0, clock);
  clock.advance(60_000);
  expect(budget.take()).toBe(false);
});

test('limits the burst after a long time without traffic', () => {
  const clock = new manualClock.ManualClock();
  const budget = new ratioBudget.RatioBudget(0.5, clock);
  clock.advance(3_600_000);
  let granted = 0;
  while (budget.take()) granted += 1;
  expect(granted).toBe(10);
});

test('a negative balance is paid off before the next permit', () => {
  const clock = new manualClock.ManualClock();
  const budget = new ratioBudget.RatioBudget(0.5, clock);
  budget.charge(1.5);
  budget.deposit();
  budget.deposit();
  expect(budget.take()).toBe(false);
  budget.deposit();
  expect(budget.take()).toBe(true);
});
