import * as nodeEvents from 'node:events';
import * as net from 'node:net';

import * as fastCheck from 'fast-check';
import * as undici from 'undici';

import * as gossipAgent from '../common/membership/GossipAgent';
import * as peer from '../node/peer/generated/peer';
import * as peerClient from '../node/peer/PeerClient';
import * as routedDaemon from '../node/RoutedDaemon';
import * as freePorts from '../standin/FreePorts';
import * as platformDaemon from './testing/PlatformDaemon';
import * as platformRecords from './testing/PlatformRecords';
import * as platformServer from './testing/PlatformServer';
import * as platformStore from './testing/PlatformStore';

const SOUND = { prefix: '/x/', service: 'reads' };
const BROKEN = { prefix: '/y/', service: 'broken' };

const REQUEST =
  `POST /x/1 HTTP/1.1\r\nHost: ${platformRecords.HOST}\r\nRequest-Id: a\r\n` +
  'Request-Deadline: 500\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n';

const RESPONSE =
  'HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Signature: s\r\nServer-Load: 0,0,3,100\r\n' +
  'Server-Limit: 5\r\nRetry-After: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n';

jest.setTimeout(60_000);

let store: platformStore.PlatformStore;
let sound: platformServer.PlatformServer;
let broken: net.Server;
let brokenResponse: Buffer;
let daemon: routedDaemon.RoutedDaemon;
let callerPort: number;
let peerPort: number;

async function send(path: string) {
  const response = await undici.request(`http://127.0.0.1:${callerPort}${path}`, {
    headers: { host: platformRecords.HOST, 'request-id': 'a', 'request-deadline': '500' },
  });
  return { status: response.statusCode, body: await response.body.text() };
}

/** Waits until the daemon answers with the sound server, as it does before the messages. */
async function expectService(): Promise<void> {
  for (let tries = 0; tries < 200; tries += 1) {
    if ((await send('/x/1')).status === 200) return;
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
  }
  throw new Error('the daemon does not answer requests');
}

beforeEach(async () => {
  store = new platformStore.PlatformStore();
  sound = new platformServer.PlatformServer('i-1');
  brokenResponse = Buffer.alloc(0);
  broken = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => socket.end(brokenResponse));
  });
  await nodeEvents.once(broken.listen(0, '127.0.0.1'), 'listening');
  const brokenAddress = `127.0.0.1:${(broken.address() as net.AddressInfo).port}`;
  const soundAddress = await sound.listen();
  store.put('servers/i-1', platformRecords.makeServerEntry('reads', soundAddress));
  store.put('servers/i-2', platformRecords.makeServerEntry('broken', brokenAddress));
  store.put('op/config', platformRecords.makeConfiguration(1, [SOUND, BROKEN]));
  const directoryUrl = await store.listen();
  let readinessPort: number;
  [callerPort, readinessPort, peerPort] = (await freePorts.freePorts(3)) as [
    number,
    number,
    number,
  ];
  ({ daemon } = platformDaemon.makePlatformDaemon({
    ...{ callerPort, readinessPort, peerPort, directoryUrl },
  }));
  await daemon.start();
  await expectService();
});

afterEach(async () => {
  await daemon.stop();
  await Promise.all([store.close(), sound.close()]);
  await nodeEvents.once(broken.close(), 'close');
});

/** Sends bytes to a port, and waits until the connection is closed or has been idle for a while. */
async function sendBytes(port: number, bytes: Uint8Array): Promise<void> {
  const socket = net.connect({ port, host: '127.0.0.1' });
  socket.on('error', () => undefined);
  socket.on('data', () => undefined);
  socket.setTimeout(20, () => socket.destroy());
  socket.end(bytes);
  await nodeEvents.once(socket, 'close');
}

/** Bytes of a message of which some are replaced, removed, or repeated. */
function mutated(message: string): fastCheck.Arbitrary<Buffer> {
  const position = fastCheck.nat({ max: message.length - 1 });
  const edit = fastCheck.record({
    at: position,
    kind: fastCheck.constantFrom('replace', 'remove', 'repeat', 'cut'),
    bytes: fastCheck.uint8Array({ minLength: 1, maxLength: 4 }),
    length: fastCheck.nat({ max: 20 }),
  });
  return fastCheck.array(edit, { minLength: 1, maxLength: 3 }).map((edits) =>
    edits.reduce(
      (bytes, { at, kind, bytes: inserted, length }) => {
        const head = bytes.subarray(0, at);
        const removed = bytes.subarray(at, at + length);
        const tail = bytes.subarray(at + length);
        if (kind === 'replace') return Buffer.concat([head, inserted, tail]);
        if (kind === 'remove') return Buffer.concat([head, tail]);
        if (kind === 'repeat') return Buffer.concat([head, removed, removed, tail]);
        return head;
      },
      Buffer.from(message, 'latin1'),
    ),
  );
}

function check<T>(
  arbitrary: fastCheck.Arbitrary<T>,
  runs: number,
  use: (value: T) => Promise<void>,
): Promise<void> {
  const property = fastCheck.asyncProperty(arbitrary, use);
  return fastCheck.assert(property, { seed: 1, numRuns: runs, endOnFailure: true });
}

const TEXT = fastCheck.oneof(
  fastCheck.constantFrom('', 'reads', '127.0.0.1:1', 'GET', 'a b\r\n', '\u{1f600}'),
  fastCheck.string({ unit: 'binary', maxLength: 20 }),
);
const COUNT = fastCheck.oneof(fastCheck.nat(), fastCheck.constantFrom(0, 1, 2 ** 32 - 1));
const LARGE = fastCheck.oneof(COUNT, fastCheck.constantFrom(Number.MAX_SAFE_INTEGER));
const optional = <T>(arbitrary: fastCheck.Arbitrary<T>) =>
  fastCheck.option(arbitrary, { nil: undefined });

/** Addresses beside those of this machine, which cannot be used, so that nothing is sent there. */
const ADDRESS = fastCheck.oneof(
  fastCheck.constantFrom('', '\n', '127.0.0.1:1', '127.0.0.2:1', '127.0.0.1:0', '[::1]:1'),
  TEXT.map((text) => `${text}\n`),
);

const MEMBER = fastCheck.record({
  address: ADDRESS,
  incarnation: LARGE,
  heartbeat: LARGE,
  failureDomain: TEXT,
  leaving: fastCheck.boolean(),
  tableVersion: LARGE,
});

const FACT = fastCheck.record({
  kind: fastCheck.constantFrom(...Object.values(peer.FactKind)),
  subject: TEXT,
  origin: TEXT,
  sequence: LARGE,
  ageMs: COUNT,
  lifetimeMs: COUNT,
  details: fastCheck.array(TEXT, { maxLength: 4 }),
});

const EXCHANGE: fastCheck.Arbitrary<peer.ExchangeRequest> = fastCheck.record({
  sender: optional(MEMBER),
  tableVersion: LARGE,
  tableHash: TEXT,
  members: fastCheck.array(MEMBER, { maxLength: 3 }),
  facts: fastCheck.array(FACT, { maxLength: 3 }),
  heartbeatIds: fastCheck.array(COUNT, { maxLength: 4 }),
  heartbeats: fastCheck.array(COUNT, { maxLength: 4 }),
  urgent: fastCheck.boolean(),
  wantsMembers: fastCheck.boolean(),
  tableAgeMs: optional(COUNT),
  wantsNotices: optional(fastCheck.boolean()),
  wantsConfirmations: optional(fastCheck.boolean()),
});

const FORWARD: fastCheck.Arbitrary<peer.ForwardRequest> = fastCheck.record({
  requestId: TEXT,
  service: fastCheck.constantFrom('reads', 'broken', 'other'),
  method: TEXT,
  path: TEXT,
  headers: fastCheck.array(TEXT, { maxLength: 5 }),
  body: fastCheck.uint8Array({ maxLength: 10 }).map((bytes) => Buffer.from(bytes)),
  remainingMs: fastCheck.constantFrom(0, 1, 50),
  objectiveMs: optional(COUNT),
  idempotent: fastCheck.boolean(),
  maxAttempts: optional(fastCheck.nat({ max: 3 })),
  retriesSpent: COUNT,
});

// Each test guards against one malformed message that takes down the process, or its service.

test('malformed requests of callers do no harm', async () => {
  await check(mutated(REQUEST), 150, (bytes) => sendBytes(callerPort, bytes));
  await expectService();
});

test('malformed responses of servers do no harm', async () => {
  await check(mutated(RESPONSE), 100, async (bytes) => {
    brokenResponse = bytes;
    const { status, body } = await send('/y/1');
    // Bytes of the body may differ, but a body that is cut is no success.
    if (status === 200 && bytes.length < RESPONSE.length - 25) expect(body.length).not.toBe(0);
  });
  await expectService();
});

test('malformed messages of peers do no harm', async () => {
  const client = new peerClient.PeerClient(2_000);
  const address = `127.0.0.1:${peerPort}`;
  await check(EXCHANGE, 150, async (message) => {
    await client.exchange(address, message);
  });
  // Lets the daemon send on what it was told.
  await new Promise((resolve) => {
    setTimeout(resolve, 3 * gossipAgent.EXCHANGE_INTERVAL_MS);
  });
  await expectService();
  client.dispose();
});

test('malformed calls of peers do no harm', async () => {
  const client = new peerClient.PeerClient(2_000);
  await check(FORWARD, 100, async (message) => {
    await new Promise((resolve) => {
      client.forward(`127.0.0.1:${peerPort}`, message, resolve);
    });
  });
  await expectService();
  client.dispose();
});

test('bytes that are no message of a peer do no harm', async () => {
  const preface = 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0';
  await check(mutated(preface), 50, (bytes) => sendBytes(peerPort, bytes));
  await expectService();
});

test('malformed items of the store do no harm', async () => {
  const item = JSON.stringify(platformRecords.makeServerEntry('reads', '127.0.0.1:1'));
  const configuration = JSON.stringify(platformRecords.makeConfiguration(2, [SOUND, BROKEN]));
  await check(
    fastCheck.tuple(mutated(item), mutated(configuration)),
    60,
    async ([server, changed]) => {
      store.put('servers/i-3', server.toString('latin1'));
      store.put('op/config', changed.toString('latin1'));
    },
  );
  store.remove('servers/i-3');
  store.put('op/config', platformRecords.makeConfiguration(0xffffffff, [SOUND, BROKEN]));
  await expectService();
});
