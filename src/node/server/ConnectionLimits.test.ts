import * as nodeEvents from 'node:events';
import type * as net from 'node:net';

import * as callerConnection from './CallerConnection';
import * as connectionLimits from './ConnectionLimits';
import * as callerServerRig from './testing/CallerServerRig';

const UNREAD_BODY_BYTES = 24 * 1024 * 1024;
const GET = 'GET /lodgement/1 HTTP/1.1\r\nhost: a\r\n\r\n';

let rig: callerServerRig.CallerServerRig;

beforeEach(async () => {
  rig = new callerServerRig.CallerServerRig();
  await rig.listen();
});

afterEach(() => rig.close());

function limit(limits: Partial<connectionLimits.ICallerLimits>): void {
  rig.server.setLimits({ ...connectionLimits.DEFAULTS, ...limits });
}

async function connect(): Promise<net.Socket> {
  const count = rig.server.connectionCount;
  const socket = rig.connect().resume();
  while (rig.server.connectionCount === count && !socket.closed) await new Promise(setImmediate);
  return socket;
}

// Guards against ordinary callers that get no connection beside very many others.
test('a connection beyond the limit closes the longest idle one without a request', async () => {
  limit({ connections: 3 });
  const [busy, idle, later] = [await connect(), await connect(), await connect()];
  busy.write(GET);
  await rig.attempt(1);
  const added = await connect();
  await nodeEvents.once(idle, 'close');
  expect([busy, later, added].map(({ closed }) => closed)).toEqual([false, false, false]);
});

test('connections of one address beyond its limit are closed', async () => {
  limit({ perClient: 1 });
  const first = await connect();
  const second = rig.connect().resume();
  await nodeEvents.once(second, 'close');
  expect(first.closed).toBe(false);
});

// Guards against answers that are kept for ever, and against a long request that is cut off.
test('a caller that takes no byte of its answer for a while is closed', async () => {
  limit({ answerReadMs: 200 });
  const [running, unread] = [await connect(), (await connect()).pause()];
  running.write(GET);
  await rig.attempt(1);
  unread.write(GET);
  await rig.reply(2, 200, [], 'x'.repeat(UNREAD_BODY_BYTES));
  while (rig.server.connectionCount === 2) await new Promise(setImmediate);
  expect(running.closed).toBe(false);
  unread.destroy();
});

// Guards against work for callers that have left.
test('requests that wait on a connection are dropped when its caller leaves', async () => {
  const socket = await connect();
  socket.write(GET.repeat(1_000));
  await rig.attempt(1);
  socket.destroy();
  while (rig.server.connectionCount > 0) await new Promise(setImmediate);
  expect(rig.refused.length).toBeLessThanOrEqual(callerConnection.MAX_WAITING_EXCHANGES);
  expect(rig.transport.attempts).toHaveLength(1);
});

// Guards against requests that are lost, doubled or cut differently wherever a read ends.
test('requests with bodies are the same however their bytes arrive', async () => {
  const body = 'a\r\n\r\nb\n\nc';
  const head = 'POST /upload/1 HTTP/1.1\r\nhost: a\r\n';
  const sized = `${head}content-length: ${body.length}\r\n\r\n${body}`;
  const chunks = `${head}transfer-encoding: chunked\r\n\r\n9\r\n${body}\r\n0\r\n\r\n`;
  const bytes = (sized + chunks + GET).repeat(4);
  for (const size of [1, 3, 17, 64, bytes.length]) {
    const socket = (await connect()).setNoDelay();
    const before = rig.transport.attempts.length;
    for (let start = 0; start < bytes.length; start += size) {
      socket.write(bytes.slice(start, start + size));
      await new Promise(setImmediate);
    }
    for (let count = 1; count <= 12; count += 1) {
      await rig.reply(before + count, 200, []);
    }
    const calls = rig.transport.attempts.slice(before).map(({ call }) => call);
    const bodies = calls.map((call) => Buffer.from(call.body).toString()).sort();
    expect(bodies).toEqual([...Array(4).fill(''), ...Array(8).fill(body)]);
    socket.destroy();
    while (rig.server.connectionCount > 0) await new Promise(setImmediate);
  }
});
