import * as manualClock from '../ManualClock';
import * as ejector from './Ejector';

const SERVERS = ['a', 'b', 'c', 'd'];

function makeEjector(): { clock: manualClock.ManualClock; servers: ejector.Ejector } {
  const clock = new manualClock.ManualClock();
  const servers = new ejector.Ejector(clock);
  servers.setServers(SERVERS);
  return { clock, servers };
}

function fail(servers: ejector.Ejector, address: string, times: number): void {
  for (let count = 0; count < times; count += 1) servers.recordFailure(address);
}

test('ejects after three consecutive failures', () => {
  const { servers } = makeEjector();
  fail(servers, 'a', 2);
  expect(servers.isEjected('a')).toBe(false);
  fail(servers, 'a', 1);
  expect(servers.isEjected('a')).toBe(true);
});

test('does not eject on failures that are not consecutive', () => {
  const { servers } = makeEjector();
  fail(servers, 'a', 2);
  servers.recordSuccess('a');
  fail(servers, 'a', 2);
  expect(servers.isEjected('a')).toBe(false);
});

test('never ejects more than half of the servers', () => {
  const { servers } = makeEjector();
  SERVERS.forEach((address) => fail(servers, address, 5));
  expect(SERVERS.filter((address) => servers.isEjected(address))).toEqual(['a', 'b']);
});

test('a single failure after an ejection causes another one of twice the duration', () => {
  const { clock, servers } = makeEjector();
  fail(servers, 'a', 3);
  clock.advance(1_000);
  expect(servers.isEjected('a')).toBe(false);
  fail(servers, 'a', 1);
  clock.advance(1_500);
  expect(servers.isEjected('a')).toBe(true);
});

test('raises the load of a returning server gradually', () => {
  const { clock, servers } = makeEjector();
  fail(servers, 'a', 3);
  clock.advance(1_000);
  expect(servers.warmthOf('a')).toBeCloseTo(0.1);
  clock.advance(5_000);
  expect(servers.warmthOf('a')).toBeCloseTo(0.5);
  clock.advance(5_000);
  expect(servers.warmthOf('a')).toBe(1);
});

test('ejects on the first failure after the report of a peer', () => {
  const { servers } = makeEjector();
  servers.recordPeerReport('a');
  expect(servers.isEjected('a')).toBe(false);
  fail(servers, 'a', 1);
  expect(servers.isEjected('a')).toBe(true);
});

test('discards the report of a peer after a success', () => {
  const { servers } = makeEjector();
  servers.recordPeerReport('a');
  servers.recordSuccess('a');
  fail(servers, 'a', 2);
  expect(servers.isEjected('a')).toBe(false);
});
