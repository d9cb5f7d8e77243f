import * as tableGenerator from '../table/TableGenerator';
import * as virtualFleet from '../testing/VirtualFleet';

const SIZE = 200;
const SIZES = { services: 1, servers: 1, maxDaemons: SIZE };

function tableOf(version: number): string {
  return tableGenerator.generateTable(SIZES, version);
}

function startFleet(seed: number, size = SIZE): virtualFleet.VirtualFleet {
  const fleet = new virtualFleet.VirtualFleet({ size, seed });
  fleet.publish(tableOf(1));
  return fleet;
}

function countHolders(fleet: virtualFleet.VirtualFleet, version: number): number {
  return fleet.daemons.filter(({ table }) => table.current?.version === version).length;
}

/** Returns the maximum number of reads in any sliding window of one second. */
function maxReadsPerSecond(times: readonly number[]): number {
  let first = 0;
  return times.reduce((most, timeMs, index) => {
    while (timeMs - (times[first] as number) >= 1_000) first += 1;
    return Math.max(most, index - first + 1);
  }, 0);
}

test('200 daemons get a new version within 12 s, even if only one of them can read it', () => {
  const fleet = startFleet(1);
  fleet.clock.advance(4_000);
  expect(countHolders(fleet, 1)).toBe(SIZE);
  const reader = fleet.daemons[0];
  fleet.canRead = (daemon) => daemon === reader;
  fleet.publish(tableOf(2));
  fleet.clock.advance(12_000);
  expect(countHolders(fleet, 2)).toBe(SIZE);
});

test('a new version reaches 200 daemons through the configuration service alone', () => {
  const fleet = startFleet(2);
  fleet.clock.advance(5_000);
  fleet.canReach = () => false;
  fleet.publish(tableOf(2));
  fleet.clock.advance(12_000);
  expect(countHolders(fleet, 2)).toBe(SIZE);
});

test.each([150, 200, 300])('the reads of %i daemons stay within 200 per second', (size) => {
  const fleet = new virtualFleet.VirtualFleet({ size, seed: 3 });
  fleet.canReach = () => false;
  fleet.publish(tableGenerator.generateTable({ ...SIZES, maxDaemons: size }, 1));
  fleet.clock.advance(10_000);
  // Before the first table the daemons do not know the fleet size, so a simultaneous start of more
  // than 200 can exceed the limit.
  if (size > 200) fleet.readsAtMs.length = 0;
  fleet.canRead = () => false;
  fleet.clock.advance(20_000);
  fleet.publish(tableGenerator.generateTable({ ...SIZES, maxDaemons: size }, 2));
  fleet.canRead = () => true;
  fleet.clock.advance(20_000);
  expect(maxReadsPerSecond(fleet.readsAtMs)).toBeLessThanOrEqual(200);
  expect(countHolders(fleet, 2)).toBe(size);
});

test('daemons stay within the byte budget and rarely suspect a live member', () => {
  const fleet = startFleet(4, 100);
  fleet.clock.advance(20_000);
  const seconds = Array.from({ length: 6 }, () => {
    const before = fleet.daemons.map(({ agent }) => agent.budget.totalSpentBytes);
    fleet.clock.advance(1_000);
    const bytes = fleet.daemons.map(
      ({ agent }, index) => agent.budget.totalSpentBytes - (before[index] as number),
    );
    const states = fleet.daemons.flatMap(({ agent }) =>
      agent.members.statuses.map(({ state }) => state),
    );
    return { maxBytes: Math.max(...bytes), states };
  });
  expect(Math.max(...seconds.map(({ maxBytes }) => maxBytes))).toBeLessThanOrEqual(8_192);
  const states = seconds.flatMap((second) => second.states);
  expect(states.length).toBeGreaterThan(50_000);
  const suspected = states.filter((state) => state === 'suspected').length;
  expect(suspected / states.length).toBeLessThan(0.001);
});

test('a draining fact reaches 64 daemons within 1 s and 200 daemons within 3 s', () => {
  [
    { size: 64, limitMs: 1_000 },
    { size: SIZE, limitMs: 3_000 },
  ].forEach(({ size, limitMs }) => {
    const fleet = startFleet(5, size);
    fleet.clock.advance(4_000);
    const [origin] = fleet.daemons;
    origin?.agent.facts.record({ kind: 'draining', subject: 's', lifetimeMs: 60_000, details: [] });
    fleet.clock.advance(limitMs);
    const informed = fleet.daemons.filter(({ agent }) => agent.facts.size > 0);
    expect(informed).toHaveLength(size);
  });
});

test('a failed daemon is removed everywhere, and its replacement is accepted', () => {
  const fleet = startFleet(6, 48);
  fleet.clock.advance(15_000);
  const failed = fleet.daemons[7] as virtualFleet.IVirtualDaemon;
  fleet.stop(failed);
  fleet.clock.advance(36_000);
  const countKnowing = () =>
    fleet.daemons.filter(({ agent }) => agent.members.recordOf(failed.address) !== undefined)
      .length;
  expect(countKnowing()).toBe(0);
  const replacement = fleet.start(failed.address);
  fleet.clock.advance(10_000);
  expect(countKnowing()).toBe(47);
  expect(replacement.agent.members.count).toBe(48);
});

test('a fleet partitioned for a minute without the configuration service merges again', () => {
  const fleet = startFleet(7, 48);
  fleet.clock.advance(15_000);
  fleet.canRead = () => false;
  fleet.daemons.forEach(({ agent }) => agent.members.updateVmList({ revision: 2, vms: [] }));
  const sides = new Map(fleet.daemons.map(({ address }, index) => [address, index % 2]));
  fleet.canReach = (from, to) => sides.get(from) === sides.get(to);
  fleet.clock.advance(60_000);
  const counts = () => new Set(fleet.daemons.map(({ agent }) => agent.members.count));
  expect(counts()).toEqual(new Set([24]));
  fleet.canReach = () => true;
  fleet.clock.advance(30_000);
  expect(counts()).toEqual(new Set([48]));
});
