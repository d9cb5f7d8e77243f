import * as manualClock from '../ManualClock';
import * as checkBudget from './CheckBudget';

// Guards against exceeding the check budget: one trial sent 71 checks per server, 60 were allowed.
test('the daemons together never exceed the check rate', () => {
  const clock = new manualClock.ManualClock();
  const budgets = Array.from({ length: 19 }, () => {
    const budget = new checkBudget.CheckBudget(clock);
    budget.setRate(600, 19);
    return budget;
  });
  const takeAll = (budget: checkBudget.CheckBudget) =>
    Array.from({ length: 50 }, () => budget.take()).filter(Boolean).length;
  let checks = 0;
  for (let step = 0; step < 600; step += 1) {
    clock.advance(100);
    checks += budgets.map(takeAll).reduce((sum, count) => sum + count, 0);
  }
  expect(checks).toBeLessThanOrEqual(600 * 60);
  expect(checks).toBeGreaterThan(600 * 60 * 0.9);
});

test('a budget becomes scarce before it is exhausted, and recovers', () => {
  const clock = new manualClock.ManualClock();
  const budget = new checkBudget.CheckBudget(clock);
  budget.setRate(100, 10);
  expect(budget.isScarce).toBe(false);
  for (let count = 0; count < 40; count += 1) budget.take();
  expect(budget.isScarce).toBe(true);
  clock.advance(5_000);
  expect(budget.isScarce).toBe(false);
});

test('a budget with rate zero grants no permit', () => {
  const budget = new checkBudget.CheckBudget(new manualClock.ManualClock());
  budget.setRate(0, 10);
  expect(budget.take()).toBe(false);
});
