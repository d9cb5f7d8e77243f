import * as fastCheck from 'fast-check';

import * as manualClock from '../ManualClock';
import * as ratioBudget from './RatioBudget';

const WINDOW_MS = 10_000;
const FRACTION = 0.2;
const ALLOWANCE = 58;

// Guards against retries that stay within each daemon's budget but together exceed the fleet's.
test('in any window the daemons together spend at most the fraction plus the allowance', () => {
  const scenario = fastCheck.record({
    daemons: fastCheck.integer({ min: 1, max: 20 }),
    steps: fastCheck.array(
      fastCheck.record({
        waitMs: fastCheck.integer({ min: 0, max: 400 }),
        requests: fastCheck.integer({ min: 0, max: 20 }),
        tries: fastCheck.integer({ min: 0, max: 30 }),
      }),
      { minLength: 20, maxLength: 120 },
    ),
  });
  fastCheck.assert(
    fastCheck.property(scenario, ({ daemons, steps }) => {
      const clock = new manualClock.ManualClock();
      const share = ALLOWANCE / daemons;
      const budgets = Array.from({ length: daemons }, () => {
        const budget = new ratioBudget.RatioBudget(FRACTION, clock);
        budget.setReserve(0.8 * share, (1_000 * 0.2 * share) / WINDOW_MS);
        return budget;
      });
      const log: { atMs: number; requests: number; retries: number }[] = [];
      steps.forEach(({ waitMs, requests, tries }, index) => {
        clock.advance(waitMs);
        const budget = budgets[index % daemons] as ratioBudget.RatioBudget;
        for (let count = 0; count < requests; count += 1) budget.deposit();
        let retries = 0;
        for (let count = 0; count < tries; count += 1) if (budget.take()) retries += 1;
        log.push({ atMs: clock.monotonicMs(), requests, retries });
      });
      log.forEach(({ atMs }) => {
        const window = log.filter((entry) => entry.atMs >= atMs && entry.atMs < atMs + WINDOW_MS);
        const requests = window.reduce((sum, entry) => sum + entry.requests, 0);
        const retries = window.reduce((sum, entry) => sum + entry.retries, 0);
        expect(retries).toBeLessThanOrEqual(FRACTION * requests + ALLOWANCE);
      });
    }),
    { seed: 1, numRuns: 200 },
  );
});
