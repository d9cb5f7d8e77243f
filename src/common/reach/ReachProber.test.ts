import * as manualClock from '../ManualClock';
import type * as policyTypes from '../policy/Types';
import * as seededRandom from '../SeededRandom';
import * as fixtures from '../testing/Fixtures';
import * as reachProber from './ReachProber';
import * as serverReach from './ServerReach';

const SERVERS = fixtures.makeTable().servers.get('status') ?? [];

let clock: manualClock.ManualClock;
let reach: serverReach.ServerReach;
let prober: reachProber.ReachProber;
let checked: string[];
let permits: number;

beforeEach(() => {
  clock = new manualClock.ManualClock();
  reach = new serverReach.ServerReach(clock);
  reach.setServers(SERVERS);
  checked = [];
  permits = Number.POSITIVE_INFINITY;
  const checker = {
    hasIdleConnection: () => false,
    check: (
      { address }: { address: string },
      _path: string,
      _timeoutMs: number,
      _onReply: (reply: policyTypes.CheckReply) => void,
    ) => {
      checked.push(address);
    },
  };
  prober = new reachProber.ReachProber(
    reach,
    checker,
    () => ({ healthPath: '/health', servers: SERVERS }),
    () => {
      permits -= 1;
      return permits >= 0;
    },
    clock,
    new seededRandom.SeededRandom(1),
  );
});

afterEach(() => {
  prober.dispose();
  reach.dispose();
});

function loseAll(): void {
  SERVERS.forEach((server) => reach.recordFailure(server));
  clock.advance(500);
}

test('servers in reach are not checked', () => {
  clock.advance(10_000);
  expect(checked).toEqual([]);
});

// Guards against a daemon that goes on forwarding after its servers answer again.
test('different servers are checked until one replies', () => {
  loseAll();
  clock.advance(4_000);
  expect(new Set(checked).size).toBe(SERVERS.length);
  reach.recordReply(SERVERS[0] as serverReach.IReachedServer);
  const before = checked.length;
  clock.advance(4_000);
  expect(checked).toHaveLength(before);
});

test('checks stay within a few a second, and within the budget', () => {
  permits = 7;
  loseAll();
  clock.advance(1_000);
  expect(checked.length).toBeLessThanOrEqual(5);
  clock.advance(10_000);
  expect(checked).toHaveLength(7);
});
