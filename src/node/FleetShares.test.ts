import * as manualClock from '../common/ManualClock';
import * as fleetShares from './FleetShares';

function make(members: () => number) {
  const clock = new manualClock.ManualClock();
  const limits = {
    appliedDaemonCount: 24,
    reserve: 0,
    setRetryReserve: jest.fn(),
    redistributeServers: jest.fn(),
  };
  const options = { retryAllowance: 206, retryWindow: 10_000 };
  const shares = new fleetShares.FleetShares(() => options, members, limits, clock);
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
