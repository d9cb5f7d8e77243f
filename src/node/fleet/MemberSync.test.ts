import * as util from 'node:util';
import * as zlib from 'node:zlib';

import * as bunyan from 'bunyan';

import * as manualClock from '../../common/ManualClock';
import * as gossipAgent from '../../common/membership/GossipAgent';
import * as seededRandom from '../../common/SeededRandom';
import * as virtualFleet from '../../common/testing/VirtualFleet';
import type * as peer from '../peer/generated/peer';
import * as exchangeMessages from './ExchangeMessages';
import * as memberSync from './MemberSync';

const MEMBERS = 312;

const gzip = util.promisify(zlib.gzip);

let clock: manualClock.ManualClock;
let fetches: string[];
let served: () => Promise<peer.FetchMembersReply>;

function agentOf(index: number): gossipAgent.GossipAgent {
  return new gossipAgent.GossipAgent(
    {
      address: virtualFleet.addressOf(index),
      failureDomain: 'domain-1',
      incarnation: 1_800_000_000_000 * 2_048 + index,
      sizeOf: exchangeMessages.encodedSize,
      tableState: () => ({ version: 1, hash: '' }),
    },
    clock,
    new seededRandom.SeededRandom(index),
  );
}

function syncOf(agent: gossipAgent.GossipAgent): memberSync.MemberSync {
  const peers = {
    fetchMembers: async (address: string) => {
      fetches.push(address);
      return { ok: true as const, value: await served() };
    },
  };
  const logger = bunyan.createLogger({ name: 'test', streams: [] });
  return new memberSync.MemberSync(agent, peers, logger, clock);
}

function reportOf(lacksMembers: boolean): gossipAgent.IPeerReport {
  const table = { version: 1, hash: '' };
  return { address: 'peer', table, noticeInterest: undefined, lacksMembers };
}

beforeEach(() => {
  clock = new manualClock.ManualClock(1_800_000_000_000);
  fetches = [];
  const full = agentOf(0);
  for (let index = 1; index < MEMBERS; index += 1) full.members.merge(agentOf(index).ownRecord);
  const sync = syncOf(full);
  served = () => sync.reply();
});

// Guards against daemons that know a part of the fleet for 10 to 25 s after the start.
test('a daemon that lacks members knows all of them after one fetch', async () => {
  const agent = agentOf(1_000);
  await syncOf(agent).syncFrom(reportOf(true));
  expect(agent.members.count).toBe(MEMBERS + 1);
  expect((await served()).compressedMembers.length).toBeLessThan(10_000);
});

// Guards against fetches without end where the fleet changes all the time.
test('a daemon that keeps lacking members fetches less and less often', async () => {
  const sync = syncOf(agentOf(1_000));
  for (let step = 0; step < 600; step += 1) {
    await sync.syncFrom(reportOf(true));
    clock.advance(100);
  }
  expect(fetches.length).toBeGreaterThanOrEqual(5);
  expect(fetches.length).toBeLessThanOrEqual(12);
});

test('a daemon that lacks no members fetches nothing', async () => {
  await syncOf(agentOf(1_000)).syncFrom(reportOf(false));
  expect(fetches).toEqual([]);
});

// Guards against one malformed message that ends a process.
test.each([
  ['no list', Promise.resolve(Buffer.alloc(0))],
  ['bytes that are not compressed', Promise.resolve(Buffer.from('nonsense'))],
  ['compressed bytes that are no list', gzip(Buffer.alloc(100, 255))],
  ['a list without end', gzip(Buffer.alloc(8 * 1024 * 1024))],
])('%s changes nothing', async (_name, compressedMembers) => {
  const agent = agentOf(1_000);
  served = async () => ({ compressedMembers: await compressedMembers });
  await syncOf(agent).syncFrom(reportOf(true));
  expect(agent.members.count).toBe(1);
});

// Guards against failed daemons that return as live members through the lists of others.
test('a list omits members whose heartbeats have stopped', async () => {
  clock.advance(6_000);
  const agent = agentOf(1_000);
  await syncOf(agent).syncFrom(reportOf(true));
  expect(agent.members.count).toBe(2);
});
