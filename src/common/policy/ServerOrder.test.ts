import * as manualClock from '../ManualClock';
import * as seededRandom from '../SeededRandom';
import * as placingFleet from '../testing/PlacingFleet';
import * as serverOrder from './ServerOrder';
import * as serverState from './ServerState';

/** A service with two slots a server: each daemon sends two calls in five seconds. */
const RARE_CALLS: placingFleet.IPlacingLoad = {
  daemons: 142,
  servers: 40,
  slots: 2,
  callsPerSecond: 59,
  workMs: 250,
  objectiveMs: 850,
  deadlineMs: 5_300,
  oneWayMs: 3.9,
  service: { retryFraction: 0.2 },
};

function stateOf(name: string, rank: number, failureDomain = 'own'): serverState.ServerState {
  const row = {
    service: 's',
    address: name,
    failureDomain,
    weight: 1,
    slots: 2,
    maxConnections: 9,
  };
  return new serverState.ServerState(row, rank);
}

function makeOrder(connected: readonly string[], owing: readonly string[] = []) {
  const clock = new manualClock.ManualClock();
  const order = new serverOrder.ServerOrder({
    clock,
    random: new seededRandom.SeededRandom(1),
    failureDomain: 'own',
    hasIdleConnection: (address) => connected.includes(address),
    owesReply: (address) => owing.includes(address),
  });
  return { clock, order };
}

function namesOf(servers: readonly serverState.ServerState[]): string {
  return servers.map(({ address }) => address).join('');
}

const SERVERS = [...'abcdefg'].map((name, index) => stateOf(name, index / 10));

// Guards against a home set of many servers, whose connections are closed between two checks.
test('few calls: the servers with the lowest ranks come first', () => {
  const { order } = makeOrder(['f']);
  const names = namesOf(order.sort(SERVERS));
  expect([...names.slice(0, 3)].sort().join('')).toBe('abc');
  expect(names.slice(3)).toBe('fdeg');
});

// Guards against many calls that all go to the same few servers.
test('many calls: all servers of the failure domain are in the home set', () => {
  const { clock, order } = makeOrder([...'abcdefg']);
  for (let call = 0; call < 200; call += 1) {
    clock.advance(50);
    order.recordCall();
  }
  const firsts = new Set(Array.from({ length: 200 }, () => order.sort(SERVERS)[0]?.address));
  expect(firsts.size).toBe(SERVERS.length);
});

// Guards against a connection to a server that can only reply that it is busy.
test('servers that are at work for this daemon or owe a reply come last', () => {
  const { order } = makeOrder([], ['c']);
  const [a, b, c] = [stateOf('a', 0), stateOf('b', 0.1), stateOf('c', 0.2)];
  a.recordStart(0);
  expect(namesOf(order.sort([a, b, c, stateOf('x', 0, 'other')]))).toMatch(/^bx(ac|ca)$/);
});

// Guards against one call that opens connections to all servers while all are busy.
test('after a reply, a selection opens one connection', () => {
  const { order } = makeOrder(['c']);
  const unchecked = SERVERS.slice(0, 3);
  expect(order.takeNext(unchecked, 1, true)?.address).toBe('c');
  expect(order.takeNext(unchecked, 1, true)).toBeUndefined();
  expect(order.takeNext(unchecked, 1, false)?.address).toBe('a');
  expect(order.takeNext(unchecked, 0, true)?.address).toBe('b');
});

// Guards against a connection for every second call. Opening one takes a round trip and 1 ms of a
// slot, and each daemon makes four calls in the time for which servers keep an idle connection.
test('rare calls: 4 of 10 at most open a connection, servers share the load, answers are in time', () => {
  const fleet = new placingFleet.PlacingFleet(RARE_CALLS);
  fleet.run(15);
  fleet.restart();
  fleet.run(40);
  const { opened, calls, inTime, rejected, arrivals } = fleet.result;
  expect(opened / calls).toBeLessThan(0.4);
  expect(inTime / calls).toBeGreaterThan(0.95);
  expect(rejected / calls).toBeLessThan(0.01);
  expect(Math.max(...arrivals)).toBeLessThan((2 * calls) / RARE_CALLS.servers);
});

// Guards against a daemon that depends on the few servers of its home set.
test('servers that close all idle connections, and a fifth that end, cost no calls', () => {
  const fleet = new placingFleet.PlacingFleet(RARE_CALLS);
  fleet.run(10);
  fleet.daemons.forEach(({ links }) => links.closeIdle());
  fleet.run(5);
  const ended = [...fleet.servers.keys()].filter((_, index) => index % 12 < 2);
  ended.forEach((address) => fleet.servers.get(address)?.stop());
  fleet.restart();
  fleet.run(3);
  ended.forEach((address) => fleet.removeServer(address));
  fleet.applyTable();
  fleet.run(12);
  const { calls, answered, inTime } = fleet.result;
  expect(answered / calls).toBeGreaterThan(0.97);
  expect(inTime / calls).toBeGreaterThan(0.9);
});

// Guards against new servers that no daemon has a connection to, and that therefore get no calls.
test('added servers get calls within four seconds', () => {
  const fleet = new placingFleet.PlacingFleet(RARE_CALLS);
  fleet.run(15);
  const added = Array.from({ length: 6 }, () => fleet.addServer());
  fleet.applyTable();
  fleet.run(4);
  expect(added.filter((address) => fleet.servers.get(address)?.arrivals === 0)).toEqual([]);
});
