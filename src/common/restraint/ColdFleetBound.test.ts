import * as coldFleet from '../testing/ColdFleet';

const TERMS = { rateFactor: 1.5, rateAllowance: 8 };

/** Long enough for all daemons to know the members. */
const SETTLED_MS = 5_000;

const SECONDS = 1_000;

/** Daemons, and requests a second that a cold server takes. */
const FLEETS: [number, number][] = [
  [110, 7.2],
  [131, 4.1],
];

function makeFleet(daemonCount: number, requestsPerSecond: number, serverCount: number, seed = 1) {
  const terms = TERMS;
  return new coldFleet.ColdFleet({ daemonCount, requestsPerSecond, serverCount, terms, seed });
}

function boundOf(requestsPerSecond: number): number {
  return requestsPerSecond * TERMS.rateFactor + TERMS.rateAllowance;
}

function range(count: number, from = 0): number[] {
  return Array.from({ length: count }, (_, index) => from + index);
}

// Guards against shares that exceed the bound in their sum while everything else works.
test.each(FLEETS)('%i daemons: cold servers alone, each wanted by all', (count, rate) => {
  const fleet = makeFleet(count, rate, 9);
  fleet.play(SETTLED_MS, 0);
  fleet.makeCold(fleet.servers, 10 * SECONDS);
  fleet.play(10 * SECONDS, 9 * 50);
  expect(fleet.mostInOneSecond).toBeLessThanOrEqual(boundOf(rate));
});

// Guards against a first second of coldness in which the daemons that know of it add their shares to
// the requests of those that do not know yet.
test.each(FLEETS)('%i daemons: a server turns cold amid 12 requests a second', (count, rate) => {
  const fleet = makeFleet(count, rate, 12);
  fleet.play(SETTLED_MS, 12 * 12);
  const [server = ''] = fleet.servers;
  range(20).forEach((round) => {
    fleet.makeCold([server], 3 * SECONDS);
    fleet.play(4 * SECONDS + 60 * round, 12 * 12);
  });
  expect(fleet.mostInOneSecond).toBeLessThanOrEqual(boundOf(rate));
});

// Guards against the same where only the directory tells, up to 0.4 s later.
test.each(FLEETS)('%i daemons: a server turns cold, and checks do not tell', (count, rate) => {
  const fleet = makeFleet(count, rate, 12);
  fleet.areChecksTelling = false;
  fleet.play(SETTLED_MS, 12 * 12);
  const [server = ''] = fleet.servers;
  range(20).forEach((round) => {
    fleet.makeCold([server], 3 * SECONDS);
    fleet.play(20 * round, 12 * 12);
    fleet.publish(server, round);
    fleet.play(4 * SECONDS, 12 * 12);
  });
  expect(fleet.mostInOneSecond).toBeLessThanOrEqual(boundOf(rate));
});

// Guards against daemons that each take a share because they have not heard of each other yet.
test.each(FLEETS)('%i daemons start together while all servers are cold', (count, rate) => {
  const fleet = makeFleet(count, rate, 9);
  fleet.makeCold(fleet.servers, 12 * SECONDS);
  const all = range(count);
  fleet.membersOf = (position) => {
    // Lists of members that double in half a second, different ones at each daemon.
    const known = 2 ** Math.floor(fleet.clock.monotonicMs() / 500);
    return all.filter((member) => (member - position + count) % count < known);
  };
  fleet.play(12 * SECONDS, 9 * 50);
  expect(fleet.mostInOneSecond).toBeLessThanOrEqual(boundOf(rate));
});

// Guards against permits that are saved up while the members are not known, for a whole minute.
test.each(FLEETS)('%i daemons that find no other one', (count, rate) => {
  const fleet = makeFleet(count, rate, 9);
  fleet.membersOf = (position) => [position];
  fleet.makeCold(fleet.servers, 100 * SECONDS);
  fleet.play(80 * SECONDS, 0);
  fleet.play(20 * SECONDS, 9 * 50);
  expect(fleet.mostInOneSecond).toBeLessThanOrEqual(boundOf(rate));
});

// Guards against shares that grow at once when members fall silent, though they may go on sending.
test.each(FLEETS)('half of %i daemons die, or are only cut off', (count, rate) => {
  const fleet = makeFleet(count, rate, 9);
  fleet.play(SETTLED_MS, 0);
  fleet.makeCold(fleet.servers, 20 * SECONDS);
  const half = range(Math.ceil(count / 2));
  fleet.membersOf = (position) => (position < half.length ? half : [position]);
  fleet.play(5 * SECONDS, 9 * 50);
  fleet.play(5 * SECONDS, 9 * 50, half);
  expect(fleet.mostInOneSecond).toBeLessThanOrEqual(boundOf(rate));
});

// Guards against two parts of a fleet that each use all of the budget, however long the cut lasts.
test.each(FLEETS)('%i daemons are cut in two halves that only see each other', (count, rate) => {
  const fleet = makeFleet(count, rate, 3);
  fleet.seeds = [0, 1, count - 2, count - 1];
  fleet.play(SETTLED_MS, 0);
  const middle = Math.ceil(count / 2);
  fleet.membersOf = (position) =>
    position < middle ? range(middle) : range(count - middle, middle);
  fleet.makeCold(fleet.servers, 100 * SECONDS);
  fleet.play(100 * SECONDS, 3 * 60);
  expect(fleet.mostInOneSecond).toBeLessThanOrEqual(boundOf(rate));
});

// Guards against the same after a restart, when no daemon remembers the other parts.
test.each(FLEETS)('%i daemons start in three parts that only see each other', (count, rate) => {
  const fleet = makeFleet(count, rate, 9);
  fleet.seeds = [0, 1, 2, 3, 4, 5];
  fleet.membersOf = (position) => range(count).filter((member) => member % 3 === position % 3);
  fleet.makeCold(fleet.servers, 10 * SECONDS);
  fleet.play(10 * SECONDS, 9 * 50);
  expect(fleet.mostInOneSecond).toBeLessThanOrEqual(boundOf(rate));
});

// Guards against daemons that come back one by one, or all at once, and begin with a permit each.
test.each(FLEETS)('%i daemons are killed, a few at a time and then all', (count, rate) => {
  const fleet = makeFleet(count, rate, 9);
  fleet.play(SETTLED_MS, 0);
  fleet.makeCold(fleet.servers, 30 * SECONDS);
  range(15).forEach((round) => {
    fleet.restart(range(7, 7 * round));
    fleet.play(SECONDS, 9 * 50);
  });
  fleet.restart(range(count));
  fleet.play(15 * SECONDS, 9 * 50);
  expect(fleet.mostInOneSecond).toBeLessThanOrEqual(boundOf(rate));
});

// Guards against a fleet that grows by half, so that old and new daemons divide differently.
test.each(FLEETS)('%i daemons, a third of which join at once', (count, rate) => {
  const fleet = makeFleet(count, rate, 9);
  const old = range(Math.ceil((2 * count) / 3));
  fleet.membersOf = () => old;
  fleet.play(SETTLED_MS, 0, old);
  fleet.makeCold(fleet.servers, 15 * SECONDS);
  fleet.membersOf = () => range(count);
  fleet.play(15 * SECONDS, 9 * 50);
  expect(fleet.mostInOneSecond).toBeLessThanOrEqual(boundOf(rate));
});
