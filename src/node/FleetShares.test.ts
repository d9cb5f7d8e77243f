import * as manualClock from '../common/ManualClock';
import * as ratioBudget from '../common/policy/RatioBudget';
import * as seededRandom from '../common/SeededRandom';
import type * as types from '../common/Types';
import * as fleetShares from './FleetShares';

function make(
  members: () => number,
  clock = new manualClock.ManualClock(),
  random: types.IRandom = new seededRandom.SeededRandom(1),
) {
  const limits = {
    appliedDaemonCount: 24,
    reserve: 0,
    divideServerLimits: jest.fn(),
    setRetryReserve: jest.fn(),
    redistributeServers: jest.fn(),
  };
  const options = { retryAllowance: 206, retryWindow: 10_000 };
  const shares = new fleetShares.FleetShares(() => options, members, limits, clock, random);
  shares.start();
  return { clock, limits, shares };
}

// Guards against a daemon that takes the whole allowance before it has discovered its peers.
test('assumes a large fleet before the peers are known', () => {
  expect(make(() => 1).shares.daemonCount).toBe(24);
});

// Guards against shares that stay too large while the fleet grows, which would exceed the limits.
test('recomputes the shares when the number of daemons changes', () => {
  let count = 1;
  const { clock, limits, shares } = make(() => count);
  count = 133;
  clock.advance(4_000);
  expect(shares.daemonCount).toBe(147);
  expect(limits.redistributeServers).toHaveBeenCalled();
  const [maxTokens, tokensPerSecond] = limits.setRetryReserve.mock.lastCall as [number, number];
  expect(147 * (maxTokens + 10 * tokensPerSecond)).toBeLessThanOrEqual(206);
});

/** Retries that each daemon of a fleet gets in a minute with three calls a second. */
function retriesGranted(size: number): number[] {
  const clock = new manualClock.ManualClock();
  const random = new seededRandom.SeededRandom(1);
  const budgets = Array.from({ length: size }, () => {
    const { limits } = make(() => size, clock, random);
    const budget = new ratioBudget.RatioBudget(0.2, clock);
    limits.setRetryReserve.mockImplementation((max: number, rate: number) =>
      budget.setReserve(max, rate),
    );
    return budget;
  });
  clock.advance(5_000);
  const granted = budgets.map(() => 0);
  for (let second = 0; second < 60; second += 1) {
    budgets.forEach((budget, index) => {
      for (let call = 0; call < 3; call += 1) budget.deposit();
      if (budget.take()) granted[index] = (granted[index] as number) + 1;
    });
    clock.advance(1_000);
  }
  return granted;
}

// Guards against an equal share below one permit that grants no retry at all (312 daemons).
test.each([133, 186, 312])('in a fleet of %i daemons retries are granted to each one', (size) => {
  expect(Math.min(...retriesGranted(size))).toBeGreaterThan(0);
});

// Guards against whole permits for each daemon that together exceed the allowance of the fleet.
test.each([1, 19, 133, 312, 450, 1_000])(
  'the reserves of %i daemons stay within the allowance in each window',
  (size) => {
    const clock = new manualClock.ManualClock();
    const random = new seededRandom.SeededRandom(1);
    const fleet = Array.from({ length: size }, () => make(() => size, clock, random));
    for (let window = 0; window < 3; window += 1) {
      clock.advance(10_000);
      const total = fleet.reduce((sum, { limits }) => {
        const [max, perSecond] = limits.setRetryReserve.mock.lastCall as [number, number];
        return sum + max + 10 * perSecond;
      }, 0);
      expect(total).toBeLessThanOrEqual(206);
    }
  },
);
