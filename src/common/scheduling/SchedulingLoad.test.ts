import * as loadTest from './testing/LoadTest';

/** Facts about the servers: fraction of time at full speed, and gain of a second request at once. */
const FAST_FRACTION = 0.7;
const PAIR_GAIN = 1.18;

const READS = { name: 'reads', priority: 0, workMs: 189, objectiveMs: 648, deadlineMs: 5_399 };
const FLEET = { daemons: 36, servers: 18, slots: 2, maxQueue: 4, hasSlowSpells: true, seconds: 12 };

/** Requests a second that the servers answer if work starts only while they are at full speed. */
const CAPACITY = (FAST_FRACTION * PAIR_GAIN * FLEET.servers * 1_000) / READS.workMs;

/** What the operators tolerate: a less urgent kind that is served more often by this fraction. */
const TOLERATED_INVERSION = 0.05;

function play(kinds: readonly loadTest.IKind[], fleet: Omit<loadTest.ILoad, 'kinds'> = FLEET) {
  return new loadTest.LoadTest({ ...fleet, kinds }).run();
}

// Guards against refusals and late answers while servers idle.
// Load: 36 daemons, 18 servers of 2 slots, 189 ms of work, 0.6 of the capacity.
test('with enough room no call is refused, and almost all meet their objective', () => {
  const results = play([{ ...READS, perSecond: 0.6 * CAPACITY }]);
  expect(results.refusals).toEqual([]);
  expect(results.figures().inTime).toBeGreaterThan(0.95);
  expect(results.worstSecond(undefined, FLEET.seconds)).toBeGreaterThan(0.8);
});

// Guards against servers that are busy with calls which are answered late: most of what the servers
// can do has to reach callers in time. Load: as above, 1.4 and 2 times the capacity.
test.each([1.4, 2])('at %s times the capacity, half of it serves callers in time', (factor) => {
  const results = play([{ ...READS, perSecond: factor * CAPACITY }]);
  expect(factor * results.figures().inTime).toBeGreaterThan(0.5);
  expect(factor * results.figures().served).toBeGreaterThan(0.8);
  expect(results.worstSecond(undefined, FLEET.seconds)).toBeGreaterThan(0);
});

// Guards against refusals after which the caller has no time left, which cost all of a call's worth.
test('under overload no call is held for more than three quarters of its time', () => {
  const results = play([{ ...READS, perSecond: 2 * CAPACITY }]);
  const refused = results.refusals.filter(({ outcome }) => outcome.kind === 'not-run');
  expect(refused.length).toBeGreaterThan(0);
  refused.forEach(({ heldMs, deadlineMs }) => expect(heldMs).toBeLessThan(0.75 * deadlineMs));
});

// Guards against a backlog that makes every later call late. Load: 0.8 of the capacity, none for 2 s,
// then five times as many for half a second, as when the callers of daemons that lost power return.
test('after a mass loss of power, calls that come later meet their objective', () => {
  const rateFactorAt = (nowMs: number) => {
    if (nowMs >= 4_000 && nowMs < 6_000) return 0;
    return nowMs >= 6_000 && nowMs < 6_500 ? 5 : 1;
  };
  const results = play([{ ...READS, perSecond: 0.8 * CAPACITY, rateFactorAt }]);
  expect(results.figures(undefined, 6_500, 12_000).inTime).toBeGreaterThan(0.5);
  expect(results.figures(undefined, 6_500, 12_000).served).toBeGreaterThan(0.95);
  expect(results.figures(undefined, 6_000, 6_500).served).toBeGreaterThan(0.8);
});

// Guards against a less urgent kind that displaces an urgent one, and against one that starves.
// Load: servers of 2 slots, urgent reads at 0.8 of the capacity, long bundles at 0.5 of it.
test('an urgent kind is served at least as often as a less urgent one, which does not starve', () => {
  const bundles = { name: 'bundles', priority: 1, workMs: 150, objectiveMs: 2_139 };
  const results = play([
    { ...READS, perSecond: 0.8 * CAPACITY },
    { ...bundles, deadlineMs: 10_694, perSecond: 0.6 * CAPACITY },
  ]);
  const [reads, less] = [results.figures('reads'), results.figures('bundles')];
  expect(reads.served).toBeGreaterThan(less.served - TOLERATED_INVERSION);
  expect(less.served).toBeGreaterThan(results.figures().served / 4);
});

// Guards against the same on servers with more slots, where a call has less time.
// Load: 8 servers of 4 slots; 120 live reads a second of 121 ms, 60 archive pulls of 91 ms.
test('calls with little time are served as often as less urgent ones with much', () => {
  const fleet = { ...FLEET, servers: 8, slots: 4, maxQueue: 8 };
  const live = { name: 'live', priority: 0, workMs: 121, objectiveMs: 304, deadlineMs: 2_407 };
  const pulls = { name: 'pulls', priority: 1, workMs: 91, objectiveMs: 1_139, deadlineMs: 3_417 };
  const results = play(
    [
      { ...live, perSecond: 120 },
      { ...pulls, perSecond: 60 },
    ],
    fleet,
  );
  const [urgent, less] = [results.figures('live'), results.figures('pulls')];
  expect(urgent.served).toBeGreaterThan(less.served - TOLERATED_INVERSION);
  expect(less.served).toBeGreaterThan(results.figures().served / 4);
});

// Guards against calls that are lost or held when the servers vanish under load.
test.each(['unreachable', 'removed'] as const)('when all servers are %s no call stays', (how) => {
  const kinds = [{ ...READS, perSecond: 2 * CAPACITY }];
  const test = new loadTest.LoadTest({ ...FLEET, kinds, seconds: 3 });
  test.runUntil(3_000);
  if (how === 'removed') test.removeServers();
  else test.network.servers.forEach((server) => Object.assign(server, { isDown: true }));
  test.runUntil(3_000 + 1_000);
  test.daemons.forEach(({ balancer }) => expect(balancer.waitingCalls).toBe(0));
});

// Guards against waiting calls that survive their callers.
test('calls whose callers leave while they wait are gone', () => {
  const test = new loadTest.LoadTest({ ...FLEET, kinds: [{ ...READS, perSecond: 2 * CAPACITY }] });
  test.runUntil(3_000);
  const { balancer } = test.daemons[0] as (typeof test.daemons)[0];
  const before = balancer.waitingCalls;
  const started = Array.from({ length: 40 }, () => test.start({ ...READS, perSecond: 0 }, 0));
  test.runUntil(3_020);
  expect(balancer.waitingCalls).toBeGreaterThan(before);
  started.forEach((call) => call.cancel());
  expect(balancer.waitingCalls).toBeLessThanOrEqual(before + 2);
});
