import * as crypto from 'node:crypto';

import * as manualClock from '../ManualClock';
import * as seededRandom from '../SeededRandom';
import * as serverRestraints from './ServerRestraints';
import type * as restraintTypes from './Types';

const SERVER = { address: '10.0.0.1:80', instance: 'i-1', startedAtMs: 1 };
const NONE: restraintTypes.IServerSignals = { limit: 'none', isLeaving: false, pauseMs: 0 };

let clock: manualClock.ManualClock;
let restraints: serverRestraints.ServerRestraints;

beforeEach(() => {
  clock = new manualClock.ManualClock();
  const random = new seededRandom.SeededRandom(1);
  restraints = new serverRestraints.ServerRestraints('10.0.1.1:1', clock, random);
  restraints.setDaemons(['10.0.1.1:1']);
});

function state(
  signals: Partial<restraintTypes.IServerSignals>,
  source: restraintTypes.SignalSource = 'answer',
): void {
  restraints.record(SERVER, { ...NONE, ...signals }, source);
}

/** Sends requests until the server gets no more. */
function useUp(): void {
  while (restraints.restraintOf(SERVER) === undefined) restraints.recordRequest(SERVER);
}

// Guards against a limit that outlasts the need of the server.
test('a limit ends when a response of the kind that named it does not', () => {
  state({ limit: 1 });
  useUp();
  restraints.record(SERVER, NONE, 'check');
  expect(restraints.restraintOf(SERVER)).toBe('limited');
  state({});
  expect(restraints.restraintOf(SERVER)).toBeUndefined();
});

// Guards against a garbled response that lifts a limit.
test('a response that does not tell leaves the limit as it is', () => {
  state({ limit: 1 });
  useUp();
  state({ limit: 'unknown' });
  expect(restraints.restraintOf(SERVER)).toBe('limited');
});

test('a limit of zero lets no request pass after the first ones', () => {
  state({ limit: 0 });
  useUp();
  clock.advance(600_000);
  expect(restraints.restraintOf(SERVER)).toBe('limited');
});

test('permits are earned at the rate of the limit, also after it changes', () => {
  state({ limit: 1 });
  useUp();
  state({ limit: 10 });
  clock.advance(100);
  expect(restraints.restraintOf(SERVER)).toBeUndefined();
});

// Guards against a limited server that is never asked again, although its limit has ended.
test('a server with a limit is checked again after a while', () => {
  state({ limit: 1 });
  expect(restraints.isRecheckDue(SERVER)).toBe(false);
  clock.advance(1_001);
  expect(restraints.isRecheckDue(SERVER)).toBe(true);
  state({ limit: 1 });
  expect(restraints.isRecheckDue(SERVER)).toBe(false);
});

// Guards against checks that grow with the number of daemons.
test('a large fleet checks a limited server as often as a small one', () => {
  restraints.setDaemons(Array.from({ length: 312 }, (_, index) => `10.0.1.${index}:1`));
  state({ limit: 1 });
  clock.advance(31_000);
  expect(restraints.isRecheckDue(SERVER)).toBe(false);
  clock.advance(201);
  expect(restraints.isRecheckDue(SERVER)).toBe(true);
});

// Guards against a daemon that takes a large share because it does not know the others yet.
test('a daemon that does not know the others takes a small share', () => {
  restraints.setDaemons(undefined);
  const changes: restraintTypes.ISignalChange[] = [];
  restraints.onChanged((change) => changes.push(change));
  state({ limit: 12 });
  expect(changes[0]?.sharePerSecond).toBe(0.5);
});

// Guards against hundreds of daemons that start at once and each take a share of a small fleet.
test('a daemon that knows many others, but not all yet, takes a smaller share', () => {
  restraints.setDaemons(undefined);
  state({ limit: 312 });
  expect(restraints.restrained).toMatchObject([{ sharePerSecond: 13 }]);
  restraints.setDaemons(undefined, 312);
  expect(restraints.restrained).toMatchObject([{ sharePerSecond: 1 }]);
});

// Guards against control that takes more than its share of the processor while daemons restart.
test('a change of the members ranks only those that are new', () => {
  const daemons = Array.from({ length: 312 }, (_, index) => `10.0.1.${index}:1`);
  restraints.setDaemons(daemons);
  state({ limit: 7 });
  const hash = jest.spyOn(crypto, 'createHash');
  restraints.setDaemons(daemons.slice(1));
  restraints.setDaemons([...daemons, '10.0.2.1:1']);
  expect(hash.mock.calls.length).toBeLessThanOrEqual(2);
  hash.mockRestore();
});

// Guards against a server that is used again because the directory still lists it.
test('a server that said it leaves gets no more requests', () => {
  state({ isLeaving: true });
  state({}, 'check');
  clock.advance(3_600_000);
  expect(restraints.restraintOf(SERVER)).toBe('leaving');
});

test('what a server said does not bind another process at its address', () => {
  state({ isLeaving: true });
  expect(restraints.restraintOf({ ...SERVER, instance: 'i-2' })).toBeUndefined();
  expect(restraints.restraintOf({ ...SERVER, startedAtMs: 2 })).toBeUndefined();
});

test('the leaving of a server is shared once, and not when a peer reported it', () => {
  const shared: restraintTypes.IServerProcess[] = [];
  restraints.onLeaving((server) => shared.push(server));
  state({ isLeaving: true });
  state({ isLeaving: true }, 'check');
  restraints.mergeLeaving({ ...SERVER, instance: 'i-2' });
  expect(shared).toEqual([SERVER]);
});

// Guards against a shorter statement that cuts a longer one short.
test('a pause lasts as long as the longest statement', () => {
  state({ pauseMs: 3_000 });
  clock.advance(1_000);
  state({ pauseMs: 500 });
  state({});
  clock.advance(1_999);
  expect(restraints.restraintOf(SERVER)).toBe('paused');
  clock.advance(1);
  expect(restraints.restraintOf(SERVER)).toBeUndefined();
});

test('a pause is bounded', () => {
  state({ pauseMs: Number.MAX_VALUE });
  clock.advance(600_000);
  expect(restraints.restraintOf(SERVER)).toBeUndefined();
});

// Guards against callers who are told to return before a server wants requests.
test('callers are told to return when the first of the servers wants requests', () => {
  const other = { ...SERVER, address: '10.0.0.2:80' };
  expect(restraints.retryDelayMs([SERVER, other])).toBeUndefined();
  state({ pauseMs: 3_000 });
  expect(restraints.retryDelayMs([SERVER, other])).toBeUndefined();
  restraints.record(other, { ...NONE, pauseMs: 1_000 }, 'answer');
  const delays = Array.from({ length: 20 }, () => restraints.retryDelayMs([SERVER, other]));
  delays.forEach((delayMs) => expect(delayMs).toBeGreaterThanOrEqual(1_000));
  delays.forEach((delayMs) => expect(delayMs).toBeLessThanOrEqual(2_000));
  expect(new Set(delays).size).toBeGreaterThan(10);
});

test('lists the servers that get no requests, or few, with the reason and the end', () => {
  const successor = { ...SERVER, startedAtMs: 2 };
  restraints.record(SERVER, { ...NONE, pauseMs: 2_000 }, 'answer');
  restraints.record(successor, { ...NONE, limit: 8 }, 'answer');
  clock.advance(500);
  expect(restraints.restrained).toMatchObject([
    { server: successor, pauseMs: 0, limit: 8, sharePerSecond: 8 },
    { server: SERVER, restraint: 'paused', pauseMs: 1_500, limit: undefined },
  ]);
  clock.advance(1_500);
  restraints.record(successor, NONE, 'answer');
  expect(restraints.restrained).toEqual([]);
});

// Guards against a decision that cannot be traced to the response that caused it.
test('a change names the request whose answer told of it, also if it cannot be used', () => {
  const changes: restraintTypes.ISignalChange[] = [];
  restraints.onChanged((change) => changes.push(change));
  restraints.record(SERVER, { ...NONE, disregarded: ['a: b'] }, 'answer', 'r-1');
  expect(changes).toMatchObject([{ requestId: 'r-1', signals: { disregarded: ['a: b'] } }]);
});
