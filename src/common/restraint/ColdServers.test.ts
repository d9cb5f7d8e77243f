import type * as directoryTypes from '../directory/Types';
import * as manualClock from '../ManualClock';
import * as seededRandom from '../SeededRandom';
import * as coldServers from './ColdServers';
import * as serverRestraints from './ServerRestraints';
import type * as restraintTypes from './Types';

const OWN = '10.0.1.1:1';
const RATE = 7.2;
const SERVER = {
  ...{ address: '10.0.0.1:80', instance: 'i-1', startedAtMs: 1 },
  coldRequestsPerSecond: RATE,
};
const OTHER = { ...SERVER, address: '10.0.0.2:80', instance: 'i-2' };
const REGISTRATION: directoryTypes.IRegistration = {
  ...{ id: 'i-1', service: 's', address: SERVER.address, failureDomain: 'a', slots: 3 },
  ...{ state: 'ready', startedAtMs: 1, sequence: 1, coldMs: 0 },
};
const SIGNALS: restraintTypes.IServerSignals = { limit: 'none', isLeaving: false, pauseMs: 0 };

let clock: manualClock.ManualClock;
let cold: coldServers.ColdServers;
let restraints: serverRestraints.ServerRestraints;
let terms: restraintTypes.IColdTerms | undefined;
let changes: restraintTypes.IColdChange[];

/** Has the daemon know these others, for long enough to divide the requests among them. */
function know(others: readonly string[]): void {
  cold.setMembers(others, []);
  clock.advance(3_000);
  cold.setMembers(others, []);
}

beforeEach(() => {
  clock = new manualClock.ManualClock();
  const random = new seededRandom.SeededRandom(1);
  terms = { rateFactor: 1.5, rateAllowance: 8 };
  cold = new coldServers.ColdServers(OWN, () => terms, clock, random);
  restraints = new serverRestraints.ServerRestraints(OWN, clock, random, cold);
  changes = [];
  cold.onChanged((change) => changes.push(change));
  know([]);
});

function list(...registrations: readonly Partial<directoryTypes.IRegistration>[]): void {
  cold.recordRegistrations(
    registrations.map((registration) => ({ ...REGISTRATION, ...registration })),
    () => RATE,
  );
}

function check(coldMs: number | undefined, server = SERVER): void {
  restraints.record(server, { ...SIGNALS, coldMs }, 'check');
}

function useUp(server = SERVER): void {
  while (restraints.restraintOf(server) === undefined) restraints.recordRequest(server);
}

test('a cold server gets few requests, and is available to all of them once it is warm', () => {
  check(3_000);
  useUp();
  expect(restraints.restraintOf(SERVER)).toBe('cold');
  clock.advance(3_000);
  for (let count = 0; count < 100; count += 1) restraints.recordRequest(SERVER);
  expect(restraints.restraintOf(SERVER)).toBeUndefined();
});

// Guards against a change of behaviour where no bound is set.
test.each([
  ['settings', () => undefined, RATE],
  ['a rate in the configuration', () => ({ rateFactor: 1.5, rateAllowance: 8 }), undefined],
])('without %s a cold server is used like any other', (_name, makeTerms, rate) => {
  terms = makeTerms();
  const server = { ...SERVER, coldRequestsPerSecond: rate };
  cold.recordRegistrations([{ ...REGISTRATION, coldMs: 3_000 }], () => rate);
  restraints.record(server, { ...SIGNALS, coldMs: 3_000 }, 'check');
  for (let count = 0; count < 100; count += 1) restraints.recordRequest(server);
  expect(restraints.restraintOf(server)).toBeUndefined();
  expect(cold.count).toBe(0);
});

// Guards against a server that is taken for cold, or for warm, by an earlier statement.
test('the later statement of a server wins, also if it is shorter', () => {
  check(10_000);
  check(500);
  expect(cold.statuses).toMatchObject([{ coldMs: 500 }]);
  check(0);
  expect(cold.count).toBe(0);
  check(2_000);
  expect(cold.statuses).toMatchObject([{ coldMs: 2_000, source: 'check' }]);
});

test('a response that states nothing changes nothing', () => {
  check(2_000);
  check(undefined);
  expect(cold.statuses).toMatchObject([{ coldMs: 2_000 }]);
});

// Guards against an entry that was relayed late, and ends the coldness that a check has told since.
test('a shorter time in the directory does not shorten one from a check, a longer one counts', () => {
  list({ coldMs: 0, sequence: 1 });
  check(2_000);
  list({ coldMs: 0, sequence: 2 });
  expect(cold.statuses).toMatchObject([{ coldMs: 2_000, source: 'check' }]);
  list({ coldMs: 3_000, sequence: 3 });
  expect(cold.statuses).toMatchObject([{ coldMs: 3_000, source: 'directory' }]);
  list({ coldMs: 1_000, sequence: 4 });
  expect(cold.statuses).toMatchObject([{ coldMs: 1_000 }]);
});

// Guards against a server that stays cold as long as the directory is listed again and again.
test('the same entry listed again does not restart the time', () => {
  const registration = { ...REGISTRATION, coldMs: 3_000 };
  cold.recordRegistrations([registration], () => RATE);
  clock.advance(2_000);
  cold.recordRegistrations([registration], () => RATE);
  list({ coldMs: 3_000, sequence: 1 });
  expect(cold.statuses).toMatchObject([{ coldMs: 1_000 }]);
  clock.advance(1_000);
  expect(cold.count).toBe(0);
});

// Guards against a process that is sent all requests right after its start, as it states nothing.
test('a process that starts and states nothing counts as cold, one that was there does not', () => {
  list({ coldMs: undefined });
  expect(cold.count).toBe(0);
  list({ coldMs: undefined }, { id: 'i-2', address: OTHER.address, coldMs: undefined });
  expect(cold.statuses).toMatchObject([{ server: { instance: 'i-2' }, source: 'start' }]);
  list({ coldMs: undefined, startedAtMs: 2 }, { id: 'i-2', address: OTHER.address });
  expect(cold.statuses.map(({ server }) => server.startedAtMs)).toContain(2);
});

// Guards against a server that counts as new because its entry expired while the store was away.
test('a process whose entry comes back is not taken for one that starts', () => {
  list({ coldMs: undefined });
  list();
  cold.recordRegistrations([], () => RATE);
  list({ coldMs: undefined, sequence: 2 });
  expect(cold.count).toBe(0);
});

// Guards against a daemon that takes part of a budget that it may not know to be divided already.
test('a daemon without known members sends hardly any request, and saves no permits', () => {
  const lone = new coldServers.ColdServers(
    OWN,
    () => terms,
    clock,
    new seededRandom.SeededRandom(2),
  );
  lone.recordStatement(SERVER, 600_000, 'check');
  let sent = 0;
  for (let step = 0; step < 2_000; step += 1) {
    clock.advance(100);
    while (!lone.isHeldBack(SERVER)) {
      lone.recordRequest(SERVER);
      sent += 1;
    }
  }
  // 200 s at a rate of 5.4 a second, divided among 512 daemons: two are expected.
  expect(sent).toBeLessThanOrEqual(8);
});

// Guards against requests that were waiting for a connection as the server became cold.
test('a request that was started for a warm server needs a permit if it is cold meanwhile', () => {
  know(['10.0.1.2:1']);
  restraints.recordRequest(SERVER);
  const startedMs = clock.monotonicMs();
  expect(restraints.mayStart(SERVER, startedMs)).toBe(true);
  clock.advance(10);
  check(3_000);
  expect(restraints.mayStart(SERVER, startedMs)).toBe(false);
  clock.advance(1_500);
  expect(restraints.mayStart(SERVER, startedMs)).toBe(true);
  clock.advance(1_500);
  expect(restraints.mayStart(SERVER, startedMs)).toBe(true);
});

// Guards against requests that took permits over a long time and arrive together, as a connection
// opens at last.
test('a permit does not last while a request waits for its connection', () => {
  check(10_000);
  clock.advance(1_000);
  restraints.recordRequest(SERVER);
  const startedMs = clock.monotonicMs();
  clock.advance(400);
  expect(restraints.mayStart(SERVER, startedMs)).toBe(true);
  useUp();
  clock.advance(101);
  expect(restraints.mayStart(SERVER, startedMs)).toBe(false);
});

// Guards against callers who are told to return at a time when nobody serves them.
test('callers may return with the next request of a server, or when one is warm', () => {
  const all = [SERVER, OTHER];
  check(3_000);
  expect(restraints.retryDelayMs(all)).toBeUndefined();
  check(100, OTHER);
  useUp();
  useUp(OTHER);
  const delays = Array.from({ length: 20 }, () => restraints.retryDelayMs(all) ?? 0);
  expect(Math.min(...delays)).toBeGreaterThanOrEqual(100);
  expect(Math.max(...delays)).toBeLessThanOrEqual(200);
  // A budget of 5.4 a second.
  const ofOne = Array.from({ length: 20 }, () => restraints.retryDelayMs([SERVER]) ?? 0);
  expect(Math.min(...ofOne)).toBeGreaterThanOrEqual(1_000 / 5.4);
  expect(Math.max(...ofOne)).toBeLessThanOrEqual(2_000 / 5.4);
});

// Guards against a rate so low that the bound allows no request, and divides by zero.
test('a bound below one request a second lets none pass until the server is warm', () => {
  terms = { rateFactor: 1, rateAllowance: 0 };
  const slow = { ...SERVER, coldRequestsPerSecond: 0.5 };
  check(3_000, slow);
  clock.advance(2_500);
  expect(restraints.restraintOf(slow)).toBe('cold');
  expect(restraints.retryDelayMs([slow])).toBeLessThanOrEqual(1_000);
});

// Guards against a statement that takes a server out for days.
test('a statement counts for ten minutes at most', () => {
  check(Number.MAX_VALUE);
  clock.advance(600_000);
  expect(cold.count).toBe(0);
});

// Guards against decisions that operators cannot trace.
test('each change is reported once, with its source and the share of this daemon', () => {
  list({ coldMs: 3_000 });
  list({ coldMs: 2_900, sequence: 2 });
  check(4_000);
  clock.advance(4_000);
  expect(changes).toMatchObject([
    { server: { instance: 'i-1' }, source: 'directory', coldMs: 3_000, sharePerSecond: 5.4 },
    { source: 'check', coldMs: 4_000 },
    { source: 'check', coldMs: 0 },
  ]);
});
