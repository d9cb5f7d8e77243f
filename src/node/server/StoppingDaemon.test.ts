import * as nodeEvents from 'node:events';
import * as timers from 'node:timers/promises';

import * as callerServerRig from './testing/CallerServerRig';

const LARGE_BODY_BYTES = 16 * 1024 * 1024;

let rig: callerServerRig.CallerServerRig;

beforeEach(async () => {
  rig = new callerServerRig.CallerServerRig();
  await rig.listen();
});

afterEach(() => rig.close());

function get(path: string, timeoutMs: number): string {
  return `GET ${path} HTTP/1.1\r\nhost: x\r\nrequest-timeout-ms: ${timeoutMs}\r\n\r\n`;
}

function stop(lastOpenEndedMs: number, endMs: number): void {
  rig.phase = 'draining';
  rig.stopTimes = { lastOpenEndedMs, endMs };
}

// Guards against a late request that is passed on, and cut off when the process ends.
test('a late request that may outlast the daemon is refused as not run', async () => {
  rig.clock.advance(500);
  stop(400, 1_000);
  const response = await rig.exchange(get('/status/a', 600));
  expect(response).toMatch(/^HTTP\/1.1 503 [^]*"shutting-down"/);
  expect(rig.transport.attempts).toHaveLength(0);
});

test('a late request whose deadline is before the end is served', async () => {
  rig.clock.advance(500);
  stop(400, 1_000);
  const response = rig.exchange(get('/status/a', 500));
  await rig.reply(1, 200, []);
  expect(await response).toMatch(/^HTTP\/1.1 200 /);
});

// Guards against callers who are sent away while the balancer still moves them elsewhere.
test('an early request is served whatever its deadline', async () => {
  stop(400, 1_000);
  const response = rig.exchange(get('/status/a', 60_000));
  await rig.reply(1, 200, []);
  expect(await response).toMatch(/^HTTP\/1.1 200 /);
});

// Guards against callers whose connection is reset though it was established before the stop.
test('connections that are established when accepting ends are served', async () => {
  const sockets = Array.from({ length: 20 }, () => rig.connect());
  await new Promise(process.nextTick);
  const closed = rig.server.close();
  expect(rig.server.expectsRequests).toBe(true);
  const replies = sockets.map(async (socket) => {
    socket.write('GET /unknown/a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n');
    const [bytes] = (await nodeEvents.once(socket, 'data')) as [Buffer];
    return bytes.toString('latin1').slice(0, 12);
  });
  expect(new Set(await Promise.all(replies))).toEqual(new Set(['HTTP/1.1 404']));
  await closed;
  expect(rig.server.expectsRequests).toBe(false);
});

test('a connection on which no request arrives delays a stop only for a moment', async () => {
  const socket = rig.connect();
  await nodeEvents.once(socket, 'connect');
  const closed = rig.server.close();
  for (let turn = 0; turn < 10; turn += 1) await new Promise(setImmediate);
  expect(rig.server.expectsRequests).toBe(true);
  rig.clock.advance(500);
  expect(rig.server.expectsRequests).toBe(false);
  socket.destroy();
  await closed;
});

// Guards against pipelined requests of which only the first gets a response.
test('at the end of a stop each request gets a response, in order', async () => {
  const response = rig.exchange(get('/status/a', 60_000) + get('/lodgement/b', 60_000));
  await rig.attempt(1);
  rig.phase = 'stopping';
  rig.server.endForStop();
  const text = await response;
  expect(text).toMatch(/^HTTP\/1.1 504 [^]*"dispatched":true/);
  expect(rig.transport.attempts).toHaveLength(1);
});

test('pipelined requests that have begun are all answered at the end of a stop', async () => {
  const response = rig.exchange(get('/status/a', 60_000) + get('/status/b', 60_000));
  await rig.attempt(2);
  rig.phase = 'stopping';
  rig.server.endForStop();
  expect((await response).split('HTTP/1.1 504')).toHaveLength(3);
});

// Guards against a large answer that a stop cuts off while its caller is still reading.
test('unsent bytes of a response are known until the caller has read them', async () => {
  const socket = rig.connect();
  socket.write(get('/status/a', 60_000));
  await rig.reply(1, 200, [], 'x'.repeat(LARGE_BODY_BYTES));
  while (!rig.server.hasUnsentBytes) await timers.setTimeout(1);
  rig.phase = 'stopping';
  socket.resume();
  let received = 0;
  socket.on('data', (chunk: Buffer) => {
    received += chunk.length;
  });
  while (rig.server.hasUnsentBytes) await timers.setTimeout(1);
  rig.server.closeNow();
  await nodeEvents.once(socket, 'close');
  expect(received).toBeGreaterThan(LARGE_BODY_BYTES);
});

// Guards against a stop that cuts the answer which a caller is still reading, and the request behind
// it on the same connection, which a server is running.
test('a stop closes no connection on which an answer is still being written', async () => {
  const socket = rig.connect();
  socket.write(get('/status/a', 60_000) + get('/status/b', 60_000));
  await rig.reply(1, 200, [], 'x'.repeat(LARGE_BODY_BYTES));
  while (!rig.server.hasUnsentBytes) await timers.setTimeout(1);
  rig.phase = 'stopping';
  const closed = rig.server.close();
  await timers.setTimeout(10);
  await rig.reply(2, 200, [], 'second');
  let text = '';
  socket.setEncoding('latin1').on('data', (part: string) => {
    text += part;
  });
  await nodeEvents.once(socket, 'end');
  await closed;
  expect(text.length).toBeGreaterThan(LARGE_BODY_BYTES);
  expect(text).toMatch(/\r\n\r\nsecond$/);
});

test('a stop closes idle connections at once, and none that awaits its request', async () => {
  const [fresh, used, reading] = [rig.connect(), rig.connect(), rig.connect()];
  used.write(get('/none/a', 1_000));
  await nodeEvents.once(used, 'data');
  reading.write('GET /status/a HTTP/1.1\r\n');
  // A later connection is accepted and served after the bytes of the earlier ones were read.
  await rig.exchange('GET /none/a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n');
  const end = nodeEvents.once(used.resume(), 'close');
  const closed = rig.server.close();
  await end;
  rig.phase = 'stopping';
  const answers = [fresh, reading].map(
    (socket) => nodeEvents.once(socket, 'data') as Promise<[Buffer]>,
  );
  fresh.write(get('/status/a', 1_000));
  reading.write('host: x\r\n\r\n');
  const texts = (await Promise.all(answers)).map(([text]) => text.toString());
  texts.forEach((text) => expect(text).toMatch(/^HTTP\/1.1 503 /));
  await closed;
});
