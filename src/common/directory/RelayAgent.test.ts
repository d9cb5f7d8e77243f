import * as seededRandom from '../SeededRandom';
import * as relayFleet from '../testing/RelayFleet';

const SETTLE_MS = 6_000;

function fleetOf(size: number, knownShare = 1): relayFleet.RelayFleet {
  const fleet = new relayFleet.RelayFleet(size, new seededRandom.SeededRandom(size), knownShare);
  fleet.advance(SETTLE_MS);
  return fleet;
}

function readsPerSecond(fleet: relayFleet.RelayFleet): number {
  const before = fleet.reads;
  fleet.advance(10_000);
  return (fleet.reads - before) / 10;
}

// Guards against reads that grow with the fleet (ogsl-gate-large: 52 calls of each daemon a day).
test.each([19, 133, 312, 1_000])('of %i daemons only the readers read', (size) => {
  const fleet = fleetOf(size);
  const readers = Math.max(2, Math.ceil(size / 100));
  expect(readsPerSecond(fleet)).toBeLessThanOrEqual(1.4 * readers);
  expect(fleet.daemons.filter(({ confirmation }) => confirmation.remainingMs === 0)).toEqual([]);
});

// Guards against followers without a source where daemons know different members.
test('daemons that each lack a tenth of the members cause few additional reads', () => {
  expect(readsPerSecond(fleetOf(312, 0.9))).toBeLessThanOrEqual(12);
});

// Guards against a relay that sends far more than the others.
test('no daemon sends more than a bounded number of notices', () => {
  const fleet = fleetOf(312);
  fleet.notices.clear();
  fleet.advance(10_000);
  expect(Math.max(...fleet.notices.values()) / 10).toBeLessThanOrEqual(2 * 64);
});

// Guards against processor time that the fleet spends on telling each other that nothing changed:
// one confirmation for each watch of 750 ms, and one renewal in 3 s, come to 1.7 messages a second.
test.each([19, 133, 312])('while nothing changes, %i daemons send few notices', (size) => {
  const fleet = fleetOf(size);
  fleet.notices.clear();
  fleet.advance(10_000);
  const sent = [...fleet.notices.values()].reduce((sum, count) => sum + count, 0);
  expect(sent / size / 10).toBeLessThanOrEqual(1.8);
});

// Guards against followers that all read because the source that confirms their directory has failed.
test.each([19, 312])('the loss of one reader of %i daemons causes few reads', (size) => {
  const fleet = fleetOf(size);
  const reader = fleet.daemons.find(({ agent }) => agent.readRole === 'reader');
  Object.assign(reader as relayFleet.IRelayDaemon, { isUp: false });
  const before = fleet.reads;
  fleet.advance(5_000);
  const readers = Math.max(2, Math.ceil(size / 100));
  expect(fleet.reads - before).toBeLessThanOrEqual(5 * 1.4 * readers);
});

// Guards against a whole directory that is fetched from a peer while the first own read of it goes on.
test('daemons that start, and readers, wait for their own read; refused ones do not', () => {
  const fleet = new relayFleet.RelayFleet(19, new seededRandom.SeededRandom(19));
  expect(fleet.daemons.every(({ agent }) => agent.expectsOwnRead)).toBe(true);
  fleet.advance(8_000);
  const readers = fleet.daemons.filter(({ agent }) => agent.expectsOwnRead);
  expect(readers).toHaveLength(2);
  readers.forEach((daemon) => Object.assign(daemon, { isRefused: true }));
  fleet.advance(1_200);
  expect(readers.filter(({ agent }) => agent.expectsOwnRead)).toEqual([]);
});

// Guards against a daemon that trusts its directory after its VM was suspended, which no clock counts.
test('a daemon whose confirmation was discarded reads at once', () => {
  const fleet = fleetOf(41);
  fleet.advance(2_000);
  const followers = fleet.daemons.filter(({ agent }) => agent.readRole === 'follower');
  followers.forEach(({ confirmation }) => confirmation.reset());
  expect(followers.filter(({ agent }) => agent.readRole === 'follower')).toEqual([]);
});

// Guards against a change that takes effect too late at some daemons.
test('a change reaches every daemon within a second of its publication', () => {
  const fleet = fleetOf(312);
  fleet.publish(2);
  fleet.advance(1_000);
  expect(fleet.daemons.filter(({ revision }) => revision < 2)).toEqual([]);
});

// Guards against a change that is late since relays first notify followers that have another source.
test('a change is first told to the followers that have no other daemon before this one', () => {
  const fleet = fleetOf(119);
  fleet.notices.clear();
  fleet.publish(2);
  fleet.advance(100);
  expect(fleet.daemons.filter(({ revision }) => revision < 2)).toEqual([]);
  const sent = [...fleet.notices.values()].reduce((sum, count) => sum + count, 0);
  // One notice each, and at most a fifth more for the confirmations of that time.
  expect(sent).toBeLessThanOrEqual(1.2 * fleet.daemons.length);
});

// Guards against changes that are lost with the daemons that relay them.
test('a change reaches all survivors in time although more than half of the daemons failed', () => {
  const fleet = fleetOf(312);
  const random = new seededRandom.SeededRandom(7);
  fleet.daemons.forEach((daemon) => Object.assign(daemon, { isUp: random.next() > 0.55 }));
  fleet.publish(2);
  fleet.advance(2_000);
  const survivors = fleet.daemons.filter(({ isUp }) => isUp);
  expect(survivors.filter(({ revision }) => revision < 2)).toEqual([]);
});

// Guards against a change that is late everywhere because those that read are refused, and the others
// begin to read when there is no time left for a large configuration.
test.each([19, 41, 119, 312])(
  'a large change reaches %i daemons in time while the readers are refused',
  (size) => {
    const fleet = fleetOf(size);
    const random = new seededRandom.SeededRandom(3);
    fleet.transferMs = 500;
    fleet.daemons.forEach((daemon) => {
      const isRefused = daemon.agent.readRole === 'reader' || random.next() < 0.35;
      Object.assign(daemon, { isRefused });
    });
    for (let revision = 2; revision < 12; revision += 1) {
      fleet.publish(revision);
      fleet.advance(2_000);
      const late = fleet.daemons.filter((daemon) => daemon.revision < revision);
      expect(late.map(({ address, isRefused }) => ({ address, isRefused }))).toEqual([]);
      fleet.advance(2_000 * random.next());
    }
  },
);

// Guards against a daemon that stops reading between two changes although no peer tells it of them.
test('large changes reach daemons in time that are cut off from their peers', () => {
  const fleet = fleetOf(119);
  const random = new seededRandom.SeededRandom(4);
  fleet.transferMs = 1_000;
  fleet.daemons.forEach((daemon) => Object.assign(daemon, { isCut: random.next() < 0.35 }));
  fleet.advance(3_000);
  // The pauses cover the interval at which a daemon that reads now and then does so.
  for (let revision = 2; revision < 42; revision += 1) {
    fleet.publish(revision);
    fleet.advance(2_000);
    const late = fleet.daemons.filter((daemon) => daemon.revision < revision);
    expect(late.map(({ address, isCut }) => ({ address, isCut }))).toEqual([]);
    fleet.advance(revision * 60);
  }
});

// Guards against a fleet of which each daemon reads while it knows only some of the members.
test('after a start the daemons of an incomplete member list read rarely', () => {
  const fleet = new relayFleet.RelayFleet(312, new seededRandom.SeededRandom(1), 0.01);
  fleet.advance(4_000);
  // Each daemon reads at most once in half of the maximum age of a confirmation.
  expect(fleet.reads).toBeLessThanOrEqual(312 * (1 + 4_000 / 750));
  expect(fleet.reads / 4).toBeLessThanOrEqual(312);
});
