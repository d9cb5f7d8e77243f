import * as manualClock from '../ManualClock';
import type * as routingTypes from '../routing/Types';
import * as directoryModule from './Directory';
import type * as directoryTypes from './Types';

let clock: manualClock.ManualClock;
let directory: directoryModule.Directory;
let problems: directoryTypes.IDirectoryProblem[];

beforeEach(() => {
  clock = new manualClock.ManualClock();
  directory = new directoryModule.Directory(clock);
  problems = [];
  directory.onProblem((problem) => problems.push(problem));
});

function serverOf(
  id: string,
  revision: number,
  changes: Partial<directoryTypes.IRegistration> = {},
): directoryTypes.DirectoryRecord {
  const server: directoryTypes.IRegistration = {
    id,
    service: 'a',
    address: `10.0.0.${id}:80`,
    failureDomain: 'd',
    slots: 3,
    state: 'ready',
    startedAtMs: 1,
    ...changes,
  };
  return { kind: 'server', revision, server };
}

function configurationOf(version: number, revision: number): directoryTypes.DirectoryRecord {
  const configuration = { version, routes: [], services: [] };
  return {
    kind: 'configuration',
    revision,
    configuration: configuration as unknown as routingTypes.IConfiguration,
  };
}

function removalOf(id: string, revision: number): directoryTypes.DirectoryRecord {
  return { kind: 'server-removed', revision, id };
}

function ids(): string[] {
  return directory.servers.map(({ id }) => id).sort();
}

// Guards against an older configuration that replaces a newer one.
test('the configuration never reverts to an older version', () => {
  directory.apply([configurationOf(5, 10)], 10);
  directory.apply([configurationOf(4, 11)], 11);
  expect(directory.configuration?.version).toBe(5);
  expect(problems).toMatchObject([{ kind: 'older-configuration', subject: '4' }]);
});

test('different content under the same version is reported and not applied', () => {
  directory.apply([configurationOf(5, 10)], 10);
  const other = configurationOf(5, 11);
  Object.assign((other as { configuration: object }).configuration, { routes: ['other'] });
  directory.apply([other], 11);
  expect(directory.configuration?.routes).toEqual([]);
  expect(problems).toMatchObject([{ kind: 'conflicting-configuration' }]);
});

// Guards against a slow read that restores a removed server.
test('an older record does not restore a removed server', () => {
  directory.apply([serverOf('1', 2)], 2);
  directory.apply([removalOf('1', 3)], 3);
  directory.apply([serverOf('1', 2)], 3);
  expect(ids()).toEqual([]);
  directory.apply([serverOf('1', 4)], 4);
  expect(ids()).toEqual(['1']);
});

test('a listing removes servers that it lacks, unless their entries are newer', () => {
  directory.replace({ records: [serverOf('1', 2), serverOf('2', 9)], revision: 3 });
  directory.replace({ records: [serverOf('3', 4)], revision: 5 });
  expect(ids()).toEqual(['2', '3']);
});

// Guards against a slow read that contains servers which were removed before this daemon saw them.
test('a read older than the known revision changes nothing', () => {
  directory.replace({ records: [serverOf('1', 2)], revision: 9 });
  directory.replace({ records: [serverOf('3', 4)], revision: 5 });
  directory.apply([serverOf('4', 6)], 7);
  expect(ids()).toEqual(['1']);
  expect(directory.revision).toBe(9);
});

// Guards against losing every server at once because entries expired while the store was down.
test('a server that expired during an outage is kept until the grace period ends', () => {
  directory.apply([serverOf('1', 2), serverOf('2', 3), serverOf('3', 4, { state: 'draining' })], 4);
  directory.startGracePeriod();
  directory.replace({ records: [], revision: 8 });
  expect(ids()).toEqual(['1', '2']);
  directory.apply([serverOf('1', 9)], 9);
  clock.advance(directoryModule.EXPIRY_GRACE_MS);
  expect(ids()).toEqual(['1']);
});

// Guards against requests to a server whose address was reassigned to another one.
test('of two servers with the same address, the one that started last is used', () => {
  const address = '10.0.0.9:80';
  directory.apply(
    [serverOf('1', 9, { address }), serverOf('2', 3, { address, startedAtMs: 2 })],
    9,
  );
  expect(ids()).toEqual(['2']);
});

test('an unusable entry removes the server with the same key', () => {
  directory.apply([serverOf('1', 2)], 2);
  directory.apply([{ kind: 'unusable', revision: 3, key: 'k', id: '1', problem: 'x' }], 3);
  expect(ids()).toEqual([]);
  expect(problems).toMatchObject([{ kind: 'unusable-item', subject: 'k' }]);
});

test('the listing for peers reproduces the directory', () => {
  directory.apply([configurationOf(2, 1), serverOf('1', 2)], 6);
  const other = new directoryModule.Directory(clock);
  other.replace(JSON.parse(JSON.stringify(directory.listing)) as typeof directory.listing);
  expect(other.listing).toEqual(directory.listing);
});

// Guards against a follower that keeps a server which its reader has removed.
test('the changes since a revision bring a peer with that revision up to date', () => {
  directory.replace({
    records: [configurationOf(1, 1), serverOf('1', 2), serverOf('2', 3), serverOf('3', 4)],
    revision: 5,
  });
  const other = new directoryModule.Directory(clock);
  other.replace(directory.listing);
  directory.apply([removalOf('1', 6), serverOf('4', 7), configurationOf(2, 8)], 8);
  directory.apply([removalOf('4', 9), serverOf('2', 10, { state: 'draining' })], 10);
  const changes = directory.changesSince(5) as directoryTypes.IDirectoryChanges;
  expect(changes.records.map(({ kind, revision }) => [kind, revision])).toEqual([
    ['server-removed', 6],
    ['configuration', 8],
    ['server-removed', 9],
    ['server', 10],
  ]);
  other.apply(changes.records, changes.revision);
  expect(other.listing).toEqual(directory.listing);
  expect(directory.changesSince(4)).toBeUndefined();
});

// Guards against tombstones that accumulate for as long as the daemon runs.
test('old tombstones are dropped, and changes from before them are not returned', () => {
  for (let count = 1; count <= 10_001; count += 1) {
    directory.apply([removalOf(`${count}`, count)], count);
  }
  expect(directory.changesSince(0)).toBeUndefined();
  expect(directory.changesSince(1)?.records).toHaveLength(10_000);
});

// Guards against a missed removal: the daemon never saw the server, so it has no tombstone for it.
test('after a listing only later changes are returned', () => {
  directory.replace({ records: [serverOf('1', 2)], revision: 5 });
  directory.apply([serverOf('2', 7)], 7);
  directory.replace({ records: [serverOf('1', 2), serverOf('2', 7)], revision: 12 });
  expect(directory.changesSince(7)).toBeUndefined();
  expect(directory.changesSince(12)).toEqual({ records: [], revision: 12 });
});

/** A listing of a directory service that was restored from a copy. */
function restored(
  revision: number,
  ...records: readonly directoryTypes.DirectoryRecord[]
): directoryTypes.IDirectoryListing {
  return { records, revision, isRestored: true };
}

// Guards against requests to a server that has left, because a copy of the service still lists it.
test.each([
  ['removed', () => directory.apply([removalOf('1', 11)], 11)],
  ['draining', () => directory.apply([serverOf('1', 11, { state: 'draining', sequence: 5 })], 11)],
])('a server that is %s does not come back with a restored copy', (_name, leave) => {
  directory.apply([serverOf('1', 10, { sequence: 4 })], 10);
  leave();
  const before = directory.servers;
  directory.replace(restored(101, serverOf('1', 100, { sequence: 4 })));
  expect(directory.servers).toEqual(before);
  expect(problems).toMatchObject([{ kind: 'outdated-server', subject: '1' }]);
});

// Guards against a process that was replaced under its identifier and comes back with the copy.
test('an earlier process does not come back with a restored copy', () => {
  directory.apply([serverOf('1', 10, { startedAtMs: 7 }), removalOf('1', 11)], 11);
  directory.replace(restored(101, serverOf('1', 100, { startedAtMs: 6 })));
  expect(ids()).toEqual([]);
});

// Guards against a living server that stays out of use after a restore.
test.each([
  ['states something new', { sequence: 5 }],
  ['is a later process', { sequence: 1, startedAtMs: 2 }],
])('a server that was removed before a restore is used once it %s', (_name, changes) => {
  directory.apply([serverOf('1', 10, { sequence: 4 }), removalOf('1', 11)], 11);
  directory.replace(restored(101, serverOf('1', 100, { sequence: 4 })));
  directory.apply([serverOf('1', 102, changes)], 102);
  expect(ids()).toEqual(['1']);
});

// Guards against a configuration that is withheld because an older one came with a later revision.
test('a newer configuration is applied even under a lower revision', () => {
  directory.apply([configurationOf(4, 10)], 10);
  directory.replace({ records: [configurationOf(3, 100)], revision: 100 });
  directory.replace({ records: [configurationOf(5, 90)], revision: 101 });
  expect(directory.configuration?.version).toBe(5);
});
