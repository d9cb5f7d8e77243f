import * as util from 'node:util';
import * as zlib from 'node:zlib';

import * as bunyan from 'bunyan';

import * as manualClock from '../../common/ManualClock';
import * as seededRandom from '../../common/SeededRandom';
import * as tableGenerator from '../../common/table/TableGenerator';
import * as fleetModule from './Fleet';
import * as peer from '../peer/generated/peer';
import type * as configurationClient from '../configuration/ConfigurationClient';
import type * as fleetTypes from './Types';

const SIZES = { services: 1, servers: 1, maxDaemons: 20 };

function tableOf(version: number, servers = 1): string {
  return tableGenerator.generateTable({ ...SIZES, servers }, version);
}

/** Runs pending promises and slices of the parser. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

/** Waits for work on other threads, such as compression. */
async function until(isDone: () => boolean): Promise<void> {
  while (!isDone()) await settle();
}

const gzip = util.promisify(zlib.gzip);
const gunzip = util.promisify(zlib.gunzip);

type Values = Partial<Record<'table' | 'vms', string>>;

interface IRig {
  readonly clock: manualClock.ManualClock;
  readonly fleet: fleetModule.Fleet;
  /** Reads of undefined values fail. `down` makes all reads fail, `pending` lets none end. */
  readonly platform: { values: Values; down: boolean; pending: boolean; reads: string[] };
  /** Table texts that peers hold, by address. */
  readonly peerTables: Map<string, { version: number; text: string }>;
  readonly asked: string[];
  readonly logged: string[];
  advance(durationMs: number): Promise<void>;
}

function sender(address: string, version: number): peer.MemberRecord {
  const base = { address, incarnation: 1, heartbeat: 1, failureDomain: 'a' };
  return { ...base, leaving: false, tableVersion: version };
}

function exchangeFrom(address: string, version: number, hash = ''): peer.ExchangeRequest {
  return peer.ExchangeRequest.fromPartial({
    sender: sender(address, version),
    tableVersion: version,
    tableHash: hash,
  });
}

function setUp(): IRig {
  const clock = new manualClock.ManualClock(1_800_000_000_000);
  const platform: IRig['platform'] = { values: {}, down: false, pending: false, reads: [] };
  const peerTables: IRig['peerTables'] = new Map();
  const asked: string[] = [];
  const logged: string[] = [];
  const unreachable = { ok: false, error: new Error('unreachable') } as const;
  const peers: fleetTypes.IPeerSender = {
    disconnect: () => undefined,
    exchange: async (address) => {
      asked.push(address);
      const table = peerTables.get(address);
      if (table === undefined) return unreachable;
      return { ok: true, value: exchangeFrom(address, table.version) };
    },
    fetchMembers: async () => unreachable,
    fetchTable: async (address) => {
      const table = peerTables.get(address);
      if (table === undefined) return unreachable;
      const compressedText = await gzip(table.text);
      return { ok: true, value: { version: table.version, compressedText } };
    },
  };
  const read = async (name: 'table' | 'vms'): Promise<configurationClient.ReadResult> => {
    platform.reads.push(name);
    if (platform.pending) return new Promise(() => {});
    const text = platform.values[name];
    if (platform.down || text === undefined) return { kind: 'failed', detail: 'down' };
    return { kind: 'value', value: { revision: 1, text } };
  };
  const logger = bunyan.createLogger({
    name: 'test',
    streams: [
      { type: 'raw', stream: { write: (line: { msg: string }) => logged.push(line.msg) } as never },
    ],
  });
  const fleet = new fleetModule.Fleet(
    { peerAddress: '10.0.0.1:7000', failureDomain: 'a', platformUrl: 'http://127.0.0.1:1' },
    peers,
    logger,
    clock,
    new seededRandom.SeededRandom(1),
    { read },
  );
  const advance = async (durationMs: number) => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
      clock.advance(100);
      await settle();
    }
  };
  return { clock, fleet, platform, peerTables, asked, logged, advance };
}

function vmsOf(...addresses: readonly string[]): string {
  const vms = addresses.map((address) => ({
    address,
    role: 'daemon',
    failureDomain: 'a',
    state: 'live',
  }));
  return JSON.stringify({ revision: 1, vms });
}

const PEERS = ['10.0.0.2:7000', '10.0.0.3:7000', '10.0.0.4:7000', '10.0.0.5:7000'];

test('a daemon is ready with the newest table after asking the platform and three peers', async () => {
  const rig = setUp();
  rig.platform.values = { table: tableOf(3), vms: vmsOf(...PEERS) };
  PEERS.forEach((address) => rig.peerTables.set(address, { version: 4, text: tableOf(4) }));
  const versions: number[] = [];
  rig.fleet.onReady(() => versions.push(rig.fleet.status.tableVersion));
  rig.fleet.start();
  await rig.advance(4_000);
  await until(() => rig.fleet.isReady);
  expect(versions).toEqual([4]);
  expect(new Set(rig.asked).size).toBeGreaterThanOrEqual(3);
});

test('a table from a peer is enough without the platform; without both the daemon is not ready', async () => {
  const rig = setUp();
  rig.platform.down = true;
  rig.fleet.start();
  await rig.advance(6_000);
  expect(rig.fleet.isReady).toBe(false);
  rig.peerTables.set(PEERS[0] as string, { version: 9, text: tableOf(9) });
  rig.fleet.receiveExchange(exchangeFrom(PEERS[0] as string, 9));
  await until(() => rig.fleet.isReady);
  expect(rig.fleet.isReady).toBe(true);
  expect(rig.fleet.status.reads.failed).toBe(rig.platform.reads.length);
});

test('unresponsive peers do not block readiness', async () => {
  const rig = setUp();
  rig.platform.values = { table: tableOf(3), vms: vmsOf(...PEERS) };
  rig.fleet.start();
  await rig.advance(4_000);
  expect(rig.fleet.isReady).toBe(true);
  expect(rig.fleet.status.exchanges.failed).toBeGreaterThan(0);
});

test('a rejected table that stays published is reported once, and the previous one stays active', async () => {
  const rig = setUp();
  rig.platform.values = { table: tableOf(3), vms: vmsOf() };
  rig.fleet.start();
  await rig.advance(4_000);
  rig.platform.values.table = `${tableOf(4)}server,,nowhere\n`;
  await rig.advance(10_000);
  const rejections = () => rig.logged.filter((line) => line === 'published table rejected').length;
  expect(rejections()).toBe(1);
  expect(rig.fleet.status).toMatchObject({
    tableVersion: 3,
    rejectedTables: 1,
    lastRefusedTable: { source: 'platform', offer: { kind: 'invalid' } },
  });
  rig.platform.values.table = tableOf(5);
  await rig.advance(4_000);
  expect(rig.fleet.status).toMatchObject({ tableVersion: 5, lastRefusedTable: undefined });
});

test('a conflicting table is counted once, whether the platform or peers offer it', async () => {
  const rig = setUp();
  rig.platform.values = { table: tableOf(3), vms: vmsOf() };
  rig.fleet.start();
  await rig.advance(4_000);
  rig.platform.values.table = tableOf(3, 2);
  await rig.advance(6_000);
  expect(rig.fleet.status.tableConflicts).toBe(1);
  const { tableHash } = rig.fleet.status;
  const { lastRefusedTable } = rig.fleet.status;
  const offered =
    lastRefusedTable?.offer.kind === 'conflict' ? lastRefusedTable.offer.offeredHash : '';
  rig.fleet.receiveExchange(exchangeFrom(PEERS[0] as string, 3, offered));
  rig.fleet.receiveExchange(exchangeFrom(PEERS[1] as string, 3, tableHash));
  await settle();
  expect(rig.fleet.status.tableConflicts).toBe(1);
  rig.fleet.receiveExchange(exchangeFrom(PEERS[2] as string, 3, 'third'));
  await settle();
  expect(rig.fleet.status.tableConflicts).toBe(2);
});

test('a damaged or oversized table from a peer is discarded', async () => {
  const rig = setUp();
  rig.peerTables.set(PEERS[0] as string, { version: 9, text: 'x'.repeat(3_000_000) });
  rig.fleet.receiveExchange(exchangeFrom(PEERS[0] as string, 9));
  await until(() => rig.logged.length > 0);
  expect(rig.fleet.status.tableVersion).toBe(0);
  expect(rig.logged).toContain('failed to decode table from peer');
});

test('no further read starts while the configuration service does not respond', async () => {
  const rig = setUp();
  rig.platform.pending = true;
  rig.fleet.start();
  await rig.advance(10_000);
  expect(rig.platform.reads).toHaveLength(1);
});

test('the table is sent only to peers with an older version', async () => {
  const rig = setUp();
  rig.platform.values = { table: tableOf(3), vms: vmsOf() };
  rig.fleet.start();
  await rig.advance(4_000);
  const reply = await rig.fleet.replyTable({ newerThan: 2 });
  expect((await gunzip(reply.compressedText)).toString()).toBe(tableOf(3));
  expect((await rig.fleet.replyTable({ newerThan: 3 })).version).toBe(0);
});

test('after a pause a peer is contacted immediately and members count as suspected', async () => {
  const rig = setUp();
  rig.fleet.receiveExchange(exchangeFrom(PEERS[0] as string, 0));
  expect(rig.fleet.status.members).toMatchObject([{ state: 'live' }]);
  rig.fleet.onPaused(3_000);
  expect(rig.asked).toEqual([PEERS[0]]);
  expect(rig.fleet.status.members).toMatchObject([{ state: 'suspected' }]);
});

test('an invalid VM list is reported and the last valid one stays in use', async () => {
  const rig = setUp();
  rig.platform.values = { table: tableOf(1), vms: vmsOf(PEERS[0] as string) };
  rig.fleet.start();
  await rig.advance(4_000);
  rig.platform.values.vms = '{"vms":[{}]}';
  await rig.advance(4_000);
  expect(rig.logged).toContain('VM list rejected');
  expect(rig.fleet.members.peers).toEqual([PEERS[0]]);
});

test('counters cover messages in both directions', async () => {
  const rig = setUp();
  const reply = rig.fleet.receiveExchange(exchangeFrom(PEERS[0] as string, 0));
  const { bytesSent, bytesReceived, exchanges } = rig.fleet.status;
  expect(bytesSent).toBe(peer.ExchangeReply.encode(reply).finish().length);
  expect(bytesReceived).toBeGreaterThan(0);
  expect(exchanges.received).toBe(1);
});
