import * as manualClock from '../ManualClock';
import * as serverReach from './ServerReach';
import type * as reachTypes from './Types';

const READS = ['10.0.0.1:80', '10.0.0.2:80', '10.0.0.3:80', '10.0.0.4:80'].map((address) => ({
  service: 'reads',
  address,
}));
const WRITES = READS.map(({ address }) => ({ service: 'writes', address: `1${address}` }));

let clock: manualClock.ManualClock;
let reach: serverReach.ServerReach;
let changes: reachTypes.IReachChange[];

beforeEach(() => {
  clock = new manualClock.ManualClock();
  reach = new serverReach.ServerReach(clock);
  reach.setServers([...READS, ...WRITES]);
  changes = [];
  reach.onChanged((change) => changes.push(change));
});

afterEach(() => reach.dispose());

/** Lets checks go out every 20 ms to servers that answer, or not. */
function check(
  servers: readonly serverReach.IReachedServer[],
  durationMs: number,
  answers: boolean,
): void {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 20) {
    const server = servers[(elapsedMs / 20) % servers.length] as serverReach.IReachedServer;
    reach.recordAsked(server);
    if (answers) reach.recordReply(server);
    clock.advance(20);
  }
}

// Guards against requests that wait for servers which do not answer this daemon.
test('a service whose servers leave checks unanswered is out of reach', () => {
  check(WRITES, 1_000, true);
  check(READS, 700, false);
  check(WRITES, 20, true);
  expect(reach.isReachable('reads')).toBe(false);
  expect(reach.isReachable('writes')).toBe(true);
  expect(reach.lostServices).toEqual(['reads']);
});

// Guards against calls that change their way because of a short loss of packets.
test('a silence of 200 ms changes nothing', () => {
  check(READS, 1_000, true);
  check(READS, 200, false);
  check(READS, 1_000, true);
  expect(changes).toEqual([]);
});

test('servers that fail beside others that answer change nothing', () => {
  for (let round = 0; round < 50; round += 1) {
    check(READS.slice(0, 3), 60, false);
    check(READS.slice(3), 20, true);
  }
  expect(changes).toEqual([]);
});

test('a service without calls is in reach however long it is silent', () => {
  clock.advance(3_600_000);
  expect(reach.isReachable('reads')).toBe(true);
});

// Guards against the first calls of a rarely used service that are lost while no server answers.
test('when no server of any service answers, all services are out of reach', () => {
  check(READS, 700, false);
  expect(reach.isReachable('writes')).toBe(false);
  expect(changes).toContainEqual(expect.objectContaining({ service: undefined }));
});

test('connections that fail at once count as silence', () => {
  READS.forEach((server) => reach.recordFailure(server));
  clock.advance(500);
  expect(reach.isReachable('reads')).toBe(false);
});

test('a reply brings a service back', () => {
  check(READS, 700, false);
  reach.recordReply(READS[0] as serverReach.IReachedServer);
  expect(reach.isReachable('reads')).toBe(true);
  expect(changes.at(-1)).toMatchObject({ isReachable: true });
});

// Guards against servers that are blamed for replies which this process has not read yet.
test('a process that did not run for a while does not take the servers for silent', () => {
  check(READS, 100, true);
  READS.forEach((server) => reach.recordAsked(server));
  clock.pause(900);
  clock.advance(0);
  expect(changes).toEqual([]);
});

test('a service with one server is out of reach when that one is silent', () => {
  reach.setServers([READS[0] as serverReach.IReachedServer, ...WRITES]);
  check(WRITES, 20, true);
  check(READS.slice(0, 1), 700, false);
  expect(reach.isReachable('reads')).toBe(false);
});

test('a service that has lost all its servers from the table is not out of reach', () => {
  check(READS, 700, false);
  reach.setServers([]);
  clock.advance(200);
  expect(reach.isReachable('reads')).toBe(true);
});

// Guards against requests that count as crashing servers because this daemon is cut off from them.
test('a callback waits for the next reply, and not for one after a longer silence', () => {
  let heard = 0;
  const callback = () => {
    heard += 1;
  };
  reach.onceHeard(callback);
  expect(heard).toBe(0);
  reach.recordReply(READS[0] as serverReach.IReachedServer);
  reach.recordReply(READS[0] as serverReach.IReachedServer);
  expect(heard).toBe(1);
  reach.onceHeard(callback);
  clock.advance(1_000);
  reach.recordReply(READS[0] as serverReach.IReachedServer);
  expect(heard).toBe(1);
});
