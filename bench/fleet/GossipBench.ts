import * as net from 'node:net';
import * as perfHooks from 'node:perf_hooks';

import * as manualClock from '../../src/common/ManualClock';
import * as gossipAgent from '../../src/common/membership/GossipAgent';
import * as memberRecords from '../../src/common/membership/MemberRecords';
import * as seededRandom from '../../src/common/SeededRandom';
import * as tableGenerator from '../../src/common/table/TableGenerator';
import * as virtualFleet from '../../src/common/testing/VirtualFleet';
import * as exchangeMessages from '../../src/node/fleet/ExchangeMessages';
import * as peer from '../../src/node/peer/generated/peer';
import * as peerClient from '../../src/node/peer/PeerClient';
import * as peerServer from '../../src/node/peer/PeerServer';

const WARM_UP_MS = 20_000;
const MEASURED_SECONDS = 10;
const MEASURED_EXCHANGES = 1_000;
const HEAP_SAMPLES = 40;

/** Results of one fleet size. Rates are averages per daemon. */
export interface IGossipFigures {
  readonly members: number;
  readonly bytesSentPerSecond: number;
  readonly messagesPerSecond: number;
  /** Time of one exchange, including encoding, for both daemons together. */
  readonly exchangeMs: number;
  readonly memberTableBytes: number;
}

/** Sets the heartbeats of all members, as exchanges with other daemons would. */
function refreshMembers(agent: gossipAgent.GossipAgent, members: number, heartbeat: number): void {
  for (let index = 0; index < members; index += 1) {
    agent.members.merge({
      address: virtualFleet.addressOf(index),
      incarnation: 3_686_400_000_000_000,
      heartbeat,
      failureDomain: 'region-0-domain-1',
      leaving: false,
      tableVersion: 4_711,
    });
  }
}

function newAgent(index: number, members: number, clock: manualClock.ManualClock) {
  const agent = new gossipAgent.GossipAgent(
    {
      address: virtualFleet.addressOf(index),
      failureDomain: 'region-0-domain-1',
      incarnation: memberRecords.newIncarnation(clock.wallTime(), 0),
      sizeOf: exchangeMessages.encodedSize,
      tableState: () => ({ version: 4_711, hash: '0123456789abcdef' }),
    },
    clock,
    new seededRandom.SeededRandom(index),
  );
  refreshMembers(agent, members, 10_000);
  return agent;
}

function exchangeOnce(from: gossipAgent.GossipAgent, to: gossipAgent.GossipAgent): void {
  const sent = peer.ExchangeRequest.encode(
    exchangeMessages.toWire(from.composeExchange()),
  ).finish();
  const message = exchangeMessages.fromWire(peer.ExchangeRequest.decode(sent));
  if (message === undefined) throw new Error('message without a sender');
  const reply = peer.ExchangeReply.encode(exchangeMessages.toWire(to.receive(message))).finish();
  const received = exchangeMessages.fromWire(peer.ExchangeReply.decode(reply));
  if (received !== undefined) from.merge(received);
}

function measureExchange(members: number): number {
  const clock = new manualClock.ManualClock(1_800_000_000_000);
  const [from, to] = [newAgent(300, members, clock), newAgent(301, members, clock)];
  let totalMs = 0;
  for (let count = 0; count < MEASURED_EXCHANGES * 2; count += 1) {
    clock.advance(500);
    refreshMembers(from, members, 10_001 + count);
    refreshMembers(to, members, 10_001 + count);
    const startMs = perfHooks.performance.now();
    exchangeOnce(from, to);
    // The first half warms up the JIT compiler.
    if (count >= MEASURED_EXCHANGES) totalMs += perfHooks.performance.now() - startMs;
  }
  return totalMs / MEASURED_EXCHANGES;
}

/** Measures the heap that each value of `create` retains. Needs the Node.js option --expose-gc. */
function heapPerValue(create: () => unknown, valueCount: number): number {
  const kept: unknown[] = [create()];
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  for (let count = 0; count < valueCount; count += 1) kept.push(create());
  globalThis.gc?.();
  const bytes = (process.memoryUsage().heapUsed - before) / valueCount;
  if (kept.length !== valueCount + 1) throw new Error('a measured value was not retained');
  return bytes;
}

/** Measures the heap that one fact takes, in the store and in the message queue. */
export function measureFactHeap(): number {
  const clock = new manualClock.ManualClock();
  const facts = 2_000;
  const bytes = heapPerValue(() => {
    const agent = newAgent(300, 0, clock);
    for (let index = 0; index < facts; index += 1) {
      agent.facts.merge({
        ...{
          kind: 'refusing',
          subject: `10.0.0.1:${index}`,
          origin: virtualFleet.addressOf(index % 200),
        },
        ...{ sequence: index, ageMs: 0, lifetimeMs: 60_000, details: [] },
      });
    }
    return agent;
  }, 5);
  return bytes / facts;
}

export function measureGossip(members: number): IGossipFigures {
  const fleet = new virtualFleet.VirtualFleet({
    size: members,
    seed: 1,
    sizeOf: exchangeMessages.encodedSize,
  });
  const sizes = { services: 1, servers: 1, maxDaemons: members };
  fleet.publish(tableGenerator.generateTable(sizes, 1));
  fleet.clock.advance(WARM_UP_MS);
  const totalBytes = () =>
    fleet.daemons.reduce((sum, { agent }) => sum + agent.budget.totalSpentBytes, 0);
  const bytesBefore = totalBytes();
  const messagesBefore = fleet.messageCount;
  fleet.clock.advance(MEASURED_SECONDS * 1_000);
  const daemonSeconds = members * MEASURED_SECONDS;
  const clock = new manualClock.ManualClock();
  return {
    members,
    bytesSentPerSecond: (totalBytes() - bytesBefore) / daemonSeconds,
    messagesPerSecond: (fleet.messageCount - messagesBefore) / daemonSeconds,
    exchangeMs: measureExchange(members),
    memberTableBytes: heapPerValue(() => newAgent(300, members, clock), HEAP_SAMPLES),
  };
}

/** Measures the bytes that gRPC adds to the messages of an exchange, without TCP/IP headers. */
export async function measureFraming(): Promise<number> {
  const clock = new manualClock.ManualClock(1_800_000_000_000);
  const message = exchangeMessages.toWire(newAgent(300, 200, clock).composeExchange());
  const server = new peerServer.PeerServer({
    exchange: () => message,
    fetchTable: () => Promise.reject(new Error('fetchTable is not part of this measurement')),
  });
  await server.listen('127.0.0.1:21999');
  let bytes = 0;
  const relay = net.createServer((socket) => {
    const upstream = net.connect(21_999, '127.0.0.1');
    [socket, upstream].forEach((end) => {
      end.on('error', () => undefined);
      end.on('data', (chunk) => {
        bytes += chunk.length;
      });
    });
    socket.pipe(upstream).pipe(socket);
  });
  await new Promise<void>((resolve) => {
    relay.listen(21_998, '127.0.0.1', resolve);
  });
  const client = new peerClient.PeerClient();
  // The first exchange opens the connection.
  await client.exchange('127.0.0.1:21998', message);
  const before = bytes;
  for (let count = 0; count < 100; count += 1) await client.exchange('127.0.0.1:21998', message);
  const perExchange = (bytes - before) / 100;
  client.dispose();
  server.dispose();
  relay.close();
  return perExchange - 2 * peer.ExchangeRequest.encode(message).finish().length;
}
