import * as util from 'node:util';
import * as zlib from 'node:zlib';

import * as bunyan from 'bunyan';

import * as confirmationModule from '../../common/directory/Confirmation';
import * as directoryModule from '../../common/directory/Directory';
import type * as directoryTypes from '../../common/directory/Types';
import type * as routingTypes from '../../common/routing/Types';
import * as manualClock from '../../common/ManualClock';
import type * as peer from '../peer/generated/peer';
import * as directorySync from './DirectorySync';

const ADDRESS = '10.0.0.2:1';

const gzip = util.promisify(zlib.gzip);
const gunzip = util.promisify(zlib.gunzip);

let clock: manualClock.ManualClock;
let peerDirectory: directoryModule.Directory;
let isReachable: boolean;
let isReader: boolean;

/** Address of a peer that takes messages and never replies. */
const HUNG_ADDRESS = '10.0.0.3:1';

/** Time for which a peer without a reply may delay the changes of others, in milliseconds. */
const HANG_LIMIT_MS = 1_000;

/** Directory that the peer sends in place of its own. */
let sentText: string | undefined;

/** Reply of the peer to the first fetch, in place of its directory at that time. */
let firstReply: Promise<peer.FetchTableReply> | undefined;

function serverOf(id: string, address: string): directoryTypes.IRegistration {
  return {
    ...{ id, address, service: 'reads', failureDomain: 'a', slots: 3 },
    ...{ state: 'ready', startedAtMs: 0 },
  };
}

function configurationOf(version: number): routingTypes.IConfiguration {
  const limits = {
    ...{ maxHeaderBytes: 2_048, maxBodyBytes: 10_000 },
    ...{ headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  };
  const route = {
    ...{ name: 'r', host: 'a.example', prefix: '/', targets: [{ service: 'reads', weight: 1 }] },
    ...{ idempotent: true, priority: 0, timeoutMs: 1_000, objectiveMs: 400, maxAttempts: 2 },
  };
  const services = [{ name: 'reads', healthPath: '/', maxConnections: 10 }];
  return { version, routes: [route], services, limits };
}

function publishConfiguration(version: number, revision: number): void {
  const configuration = configurationOf(version);
  peerDirectory.apply([{ kind: 'configuration', revision, configuration }], revision);
}

beforeEach(() => {
  clock = new manualClock.ManualClock();
  peerDirectory = new directoryModule.Directory(clock);
  isReachable = true;
  isReader = false;
  sentText = undefined;
  firstReply = undefined;
  const server = serverOf('1', '10.0.0.1:80');
  peerDirectory.apply([{ kind: 'server', revision: 5, server }], 5);
});

function make() {
  const directory = new directoryModule.Directory(clock);
  const confirmation = new confirmationModule.Confirmation(clock, () => 2_000);
  const logger = bunyan.createLogger({ name: 'test', streams: [] });
  const unused = { fetchTable: () => Promise.reject(new Error('not used')) };
  const sender = new directorySync.DirectorySync(
    peerDirectory,
    confirmation,
    () => true,
    unused,
    logger,
    clock,
  );
  const peers = {
    fetchTable: async (address: string, request: peer.FetchTableRequest) => {
      if (address === HUNG_ADDRESS) await new Promise(() => {});
      if (!isReachable) return { ok: false as const, error: new Error('unreachable') };
      const reply = await (firstReply ?? sender.reply(request));
      firstReply = undefined;
      const compressedText = sentText === undefined ? reply.compressedText : await gzip(sentText);
      return { ok: true as const, value: { ...reply, compressedText } };
    },
  };
  const sync = new directorySync.DirectorySync(
    directory,
    confirmation,
    () => isReader,
    peers,
    logger,
    clock,
  );
  return { directory, confirmation, sync, sender };
}

test('a daemon with an older directory fetches the newer one from a peer', async () => {
  const { directory, confirmation, sync } = make();
  await sync.syncFrom(ADDRESS, { version: 5, hash: '', ageMs: 20 });
  expect(directory.listing).toEqual(peerDirectory.listing);
  expect(confirmation.ageMs).toBe(20);
});

// Guards against a confirmation of changes that this daemon does not know.
test('a peer with a newer directory confirms nothing until it has been fetched', async () => {
  const { confirmation, sync } = make();
  isReachable = false;
  await sync.syncFrom(ADDRESS, { version: 5, hash: '', ageMs: 20 });
  expect(confirmation.remainingMs).toBe(0);
});

// Guards against an odd entry that a daemon of an earlier version passes on to all others.
test('a server of a peer with an address out of range is left out', async () => {
  const server = serverOf('2', '10.0.0.1:70000');
  peerDirectory.apply([{ kind: 'server', revision: 6, server }], 6);
  const { directory, sync } = make();
  await sync.syncFrom(ADDRESS, { version: 6, hash: '', ageMs: 20 });
  expect(directory.servers.map(({ id }) => id)).toEqual(['1']);
  expect(directory.revision).toBe(6);
});

// Guards against a process that ends when it sends on a revision, or applies a configuration again.
test.each([
  '{"records":[],"revision":1e300}',
  '{"records":[],"revision":5.5}',
  '{"records":[],"revision":"5"}',
  '{"records":[],"revision":null}',
  '{"records":[{"kind":"server-removed","id":"1","revision":"x"}],"revision":-1}',
  '{"records":[{"kind":"configuration","revision":5,"configuration":{"version":9}}],"revision":5}',
  '{"records":null,"revision":5}',
  'null',
])('a directory of a peer that is malformed changes nothing: %s', async (content) => {
  const { directory, sync } = make();
  for (const kind of ['changes', 'listing']) {
    sentText = `{"kind":"${kind}","content":${content}}`;
    await sync.syncFrom(ADDRESS, { version: 5, hash: '', ageMs: 20 });
    expect(directory.revision).toBe(0);
    expect(directory.configuration).toBeUndefined();
  }
});

// Guards against a change that is late because a peer that was just lost is asked for it first.
test('a peer that does not reply delays the changes of another one only briefly', async () => {
  const { directory, confirmation, sync } = make();
  sync.syncFrom(HUNG_ADDRESS, { version: 5, hash: '', ageMs: 20 }).catch(() => undefined);
  const synced = sync.syncFrom(ADDRESS, { version: 5, hash: '', ageMs: 20 });
  clock.advance(HANG_LIMIT_MS);
  await synced;
  expect(directory.revision).toBe(5);
  expect(confirmation.ageMs).toBe(20 + HANG_LIMIT_MS);
});

// Guards against a change that waits for the next notice since an earlier one is being fetched.
test('a change reported during a fetch is fetched after it', async () => {
  const { directory, sync, sender } = make();
  const older = await sender.reply({ newerThan: 0 });
  let sendOlder: () => void = () => undefined;
  firstReply = new Promise((resolve) => {
    sendOlder = () => resolve(older);
  });
  const first = sync.syncFrom(ADDRESS, { version: 5, hash: '', ageMs: 20 });
  peerDirectory.apply([{ kind: 'server', revision: 6, server: serverOf('2', '10.0.0.2:80') }], 6);
  const second = sync.syncFrom(ADDRESS, { version: 6, hash: '', ageMs: 20 });
  sendOlder();
  await Promise.all([first, second]);
  expect(directory.revision).toBe(6);
});

test('a peer without a confirmation of its own confirms nothing', async () => {
  const { confirmation, sync } = make();
  await sync.syncFrom(ADDRESS, { version: 5, hash: '' });
  expect(confirmation.remainingMs).toBe(0);
});

// Guards against an older directory that replaces a newer one.
test('a peer with an older directory changes nothing', async () => {
  const { directory, sync } = make();
  directory.apply([{ kind: 'server-removed', revision: 8, id: '1' }], 8);
  await sync.syncFrom(ADDRESS, { version: 5, hash: '', ageMs: 20 });
  expect(directory.revision).toBe(8);
  expect(directory.servers).toEqual([]);
});

// Guards against fetching from a peer what the daemon's own read is about to deliver.
test('a reader waits for its own read first', async () => {
  const { directory, sync } = make();
  isReader = true;
  const synced = sync.syncFrom(ADDRESS, { version: 5, hash: '', ageMs: 20 });
  directory.replace(peerDirectory.listing);
  isReachable = false;
  clock.advance(400);
  await synced;
  expect(directory.revision).toBe(5);
});

// Guards against sending the whole directory for each change (gcga-gateway-grown: 1,440 routes).
test('a daemon that lacks some changes receives only these', async () => {
  const { directory, sync } = make();
  await sync.syncFrom(ADDRESS, { version: 5, hash: '', ageMs: 20 });
  const server = serverOf('2', '10.0.0.2:80');
  peerDirectory.apply([{ kind: 'server-removed', revision: 6, id: '1' }], 6);
  peerDirectory.apply([{ kind: 'server', revision: 7, server }], 7);
  const replaceSpy = jest.spyOn(directory, 'replace');
  await sync.syncFrom(ADDRESS, { version: 7, hash: '', ageMs: 20 });
  expect(directory.listing).toEqual(peerDirectory.listing);
  expect(replaceSpy).not.toHaveBeenCalled();
});

// Guards against a change that is late since each daemon on its way packs a large configuration.
test('a configuration is passed on in the form in which it was received', async () => {
  publishConfiguration(3, 6);
  const { directory, sync, sender } = make();
  await sync.syncFrom(ADDRESS, { version: 6, hash: '', ageMs: 20 });
  expect(directory.configuration).toEqual(configurationOf(3));
  const request = { newerThan: 5, configurationVersion: 2 };
  const received = (await sender.reply(request)).compressedConfiguration;
  expect(received?.length).toBeGreaterThan(0);
  expect((await sync.reply(request)).compressedConfiguration).toBe(received);
});

// Guards against the cost of 1,440 routes for each daemon whenever one of them changes.
test('a peer with a recent configuration gets only what has changed since', async () => {
  publishConfiguration(3, 6);
  const { directory, sync, sender } = make();
  await sync.syncFrom(ADDRESS, { version: 6, hash: '', ageMs: 20 });
  const [route] = configurationOf(4).routes as [routingTypes.IRoute];
  const routes = [route, { ...route, prefix: '/added/' }];
  const configuration = { ...configurationOf(4), routes };
  peerDirectory.apply([{ kind: 'configuration', revision: 7, configuration }], 7);
  await sync.syncFrom(ADDRESS, { version: 7, hash: '', ageMs: 20 });
  expect(directory.configuration).toEqual(configuration);
  const request = { newerThan: 6, configurationVersion: 3 };
  const sent = (await sender.reply(request)).compressedConfiguration as Uint8Array;
  const { changes } = JSON.parse((await gunzip(sent)).toString());
  expect(changes.routes).toEqual([{ from: 0, count: 1 }, { added: [routes[1]] }]);
  expect((await sync.reply(request)).compressedConfiguration).toBe(sent);
});

// Guards against changes of a configuration that this daemon no longer has.
test('changes of a version that is no longer active change nothing', async () => {
  publishConfiguration(3, 6);
  const { directory, sync, sender } = make();
  await sync.syncFrom(ADDRESS, { version: 6, hash: '', ageMs: 20 });
  publishConfiguration(4, 7);
  firstReply = sender.reply({ newerThan: 6, configurationVersion: 3 });
  await firstReply;
  const newer = configurationOf(5);
  directory.apply([{ kind: 'configuration', revision: 8, configuration: newer }], 6);
  await sync.syncFrom(ADDRESS, { version: 7, hash: '', ageMs: 20 });
  expect(directory.configuration).toBe(newer);
  expect(directory.revision).toBe(7);
});

// Guards against a daemon that refuses the same changes again and again.
test('the whole configuration is fetched if its changes do not apply', async () => {
  publishConfiguration(3, 6);
  const { directory, sync, sender } = make();
  // The peer sends changes only of versions that it has seen itself.
  await sender.reply({ newerThan: 0, configurationVersion: 0 });
  const other = { ...configurationOf(3), routes: [] };
  directory.apply([{ kind: 'configuration', revision: 5, configuration: other }], 5);
  publishConfiguration(4, 7);
  const offered = await sender.reply({ newerThan: 6, configurationVersion: 3 });
  const text = (await gunzip(offered.compressedConfiguration as Uint8Array)).toString();
  expect(JSON.parse(text).kind).toBe('configuration-changes');
  await sync.syncFrom(ADDRESS, { version: 7, hash: '', ageMs: 20 });
  expect(directory.configuration).toEqual(configurationOf(4));
  expect(directory.revision).toBe(7);
});

test('a peer gets the configuration only if it has an older one', async () => {
  publishConfiguration(3, 6);
  const { sender } = make();
  const reply = await sender.reply({ newerThan: 0, configurationVersion: 3 });
  expect(reply.compressedConfiguration).toBeUndefined();
  const text = (await gunzip(reply.compressedText)).toString();
  expect(JSON.parse(text).content.records).toMatchObject([{ kind: 'server' }]);
});

// Guards against daemons of an earlier version that no longer get the configuration.
test('a peer that does not take the configuration apart gets it among the records', async () => {
  publishConfiguration(3, 6);
  const { sender } = make();
  const reply = await sender.reply({ newerThan: 5 });
  const text = (await gunzip(reply.compressedText)).toString();
  expect(JSON.parse(text).content.records).toMatchObject([{ kind: 'configuration' }]);
});

// Guards against a change that is never in force, because its revision counts as known without it.
test('changes are not applied without the configuration that comes with them', async () => {
  publishConfiguration(3, 6);
  const { directory, sync, sender } = make();
  const reply = await sender.reply({ newerThan: 0, configurationVersion: 0 });
  firstReply = Promise.resolve({ ...reply, compressedConfiguration: Buffer.from('x') });
  await sync.syncFrom(ADDRESS, { version: 6, hash: '', ageMs: 20 });
  expect(directory.revision).toBe(0);
  await sync.syncFrom(ADDRESS, { version: 6, hash: '', ageMs: 20 });
  expect(directory.configuration?.version).toBe(3);
});

// Guards against a follower that drops running servers whose entries expired during an outage,
// while its source keeps them.
test('the grace period after an outage travels with the directory', async () => {
  const { directory, sync } = make();
  await sync.syncFrom(ADDRESS, { version: 5, hash: '', ageMs: 20 });
  peerDirectory.startGracePeriod();
  clock.advance(1_000);
  peerDirectory.apply([{ kind: 'server-removed', revision: 6, id: '1' }], 6);
  await sync.syncFrom(ADDRESS, { version: 6, hash: '', ageMs: 20 });
  expect(directory.servers).toHaveLength(1);
  clock.advance(directoryModule.EXPIRY_GRACE_MS - 1_000);
  expect(directory.servers).toEqual([]);
  expect(peerDirectory.servers).toEqual([]);
});

// Guards against a directory that is packed again for each of many followers.
test('followers with the same revision get the same packed changes', async () => {
  const unused = { fetchTable: () => Promise.reject(new Error('not used')) };
  const logger = bunyan.createLogger({ name: 'test', streams: [] });
  const confirmation = new confirmationModule.Confirmation(clock, () => 2_000);
  const sender = new directorySync.DirectorySync(
    ...([peerDirectory, confirmation, () => true, unused, logger, clock] as const),
  );
  const [first, second] = await Promise.all([1, 2].map(() => sender.reply({ newerThan: 0 })));
  expect(second?.compressedText).toBe(first?.compressedText);
  peerDirectory.apply([{ kind: 'server-removed', revision: 6, id: '1' }], 6);
  expect((await sender.reply({ newerThan: 0 })).version).toBe(6);
});
