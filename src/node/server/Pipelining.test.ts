import * as nodeEvents from 'node:events';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';

import * as byteBudget from '../../common/memory/ByteBudget';
import * as callerConnection from './CallerConnection';
import * as callerServerRig from './testing/CallerServerRig';

const OK = ['content-type', 'text/plain'];

/** Size, in bytes, of a body that is not written together with its headers. */
const LARGE_BODY_BYTES = 20_000;

/** Size, in bytes, of a body that does not fit into the buffers of the operating system. */
const UNREAD_BODY_BYTES = 24 * 1024 * 1024;

let rig: callerServerRig.CallerServerRig;
let socket: net.Socket;
let received: string;

beforeEach(async () => {
  rig = new callerServerRig.CallerServerRig();
  await rig.listen();
  socket = rig.connect();
  received = '';
  socket.setEncoding('latin1').on('data', (text: string) => {
    received += text;
  });
  await nodeEvents.once(socket, 'connect');
});

afterEach(async () => {
  socket.destroy();
  await rig.close();
});

function get(path: string, headers = ''): string {
  return `GET ${path} HTTP/1.1\r\nhost: a\r\n${headers}\r\n`;
}

function post(path: string, body: string): string {
  return `POST ${path} HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

async function until(check: () => boolean): Promise<void> {
  for (let tries = 0; tries < 20_000; tries += 1) {
    if (check()) return;
    await new Promise(setImmediate);
  }
  throw new Error(`not reached; received: ${received}`);
}

/** Lets everything that was sent arrive, so that what did not happen can be checked. */
async function settle(): Promise<void> {
  const probe = rig.connect();
  probe.write(get('/none/1', 'connection: close\r\n'));
  probe.resume();
  await nodeEvents.once(probe, 'close');
  for (let turn = 0; turn < 50; turn += 1) await new Promise(setImmediate);
}

function answerOf(status: number) {
  return { status, headers: OK, body: Buffer.from('') };
}

function statuses(): string[] {
  return [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status as string);
}

function bodies(): string[] {
  return [...received.matchAll(/body-\d+/g)].map(([body]) => body);
}

// Guards against a request that never begins, since the answer before it still counts as unwritten.
test('a request behind an answer of hundreds of kilobytes is answered', async () => {
  socket.write(get('/status/1') + post('/lodgement/2', 'x'));
  await rig.attempt(1);
  await rig.reply(1, 200, OK, 'a'.repeat(300_000));
  await rig.attempt(2);
  await rig.reply(2, 200, OK, 'body-2');
  await until(() => bodies().length === 1);
  expect(statuses()).toEqual(['200', '200']);
});

// Guards against responses that a caller takes for those to other requests.
test('pipelined requests run at the same time and are answered in order', async () => {
  socket.write(get('/status/1') + get('/status/2') + get('/status/3'));
  await rig.attempt(3);
  await rig.reply(3, 200, OK, 'body-3');
  await rig.reply(2, 200, OK, 'body-2');
  await settle();
  expect(received).toBe('');
  await rig.reply(1, 200, OK, 'body-1');
  await until(() => bodies().length === 3);
  expect(bodies()).toEqual(['body-1', 'body-2', 'body-3']);
});

// Guards against the bytes of an interim response within the answer that follows it.
test('the interim response to a pipelined request arrives before its answer', async () => {
  const head = 'POST /upload/2 HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 1';
  socket.write(`${get('/status/1')}${head}\r\n\r\nx`);
  await rig.reply(2, 200, OK, 'z'.repeat(LARGE_BODY_BYTES));
  await rig.reply(1, 200, OK, 'body-1');
  await until(() => received.split('z').length > LARGE_BODY_BYTES);
  expect(statuses()).toEqual(['200', '100', '200']);
  expect(received).toMatch(/body-1HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200 OK\r\n[^z]*z+$/);
});

// Guards against a failure of one request that shifts the responses to those behind it.
test('a request that fails or is refused in front gets its own response', async () => {
  socket.write(get('/status/1') + get('/unknown/2') + get('/status/3'));
  await rig.reply(2, 200, OK, 'body-3');
  (await rig.attempt(1)).listener.onEnd({ kind: 'answered', answer: answerOf(500) });
  await until(() => statuses().length === 3);
  expect(statuses()).toEqual(['500', '404', '200']);
  expect(bodies()).toEqual(['body-3']);
});

test('a request that times out in front gets its response before those behind it', async () => {
  socket.write(get('/status/1', 'request-timeout-ms: 100\r\n') + get('/status/2'));
  await rig.reply(2, 200, OK, 'body-2');
  rig.clock.advance(200);
  await until(() => statuses().length === 2);
  expect(statuses()).toEqual(['504', '200']);
});

// Guards against a non-idempotent request that runs, and is sent again since its response was lost.
test('a non-idempotent request waits until those before it are answered', async () => {
  socket.write(get('/status/1') + post('/lodgement/2', 'x') + get('/status/3'));
  await rig.attempt(1);
  await settle();
  expect(rig.transport.attempts).toHaveLength(1);
  await rig.reply(1, 200, OK, 'body-1');
  await rig.attempt(3);
  // The body of the second request is read while the third one starts.
  const paths = rig.transport.attempts.map(({ call }) => call.path);
  await rig.reply(paths.indexOf('/2') + 1, 200, OK, 'body-2');
  await rig.reply(paths.indexOf('/3') + 1, 200, OK, 'body-3');
  await until(() => bodies().length === 3);
  expect(bodies()).toEqual(['body-1', 'body-2', 'body-3']);
});

test('requests behind a response that closes the connection are not passed on', async () => {
  socket.write(get('/status/1', 'connection: close\r\n') + post('/lodgement/2', 'x'));
  await rig.reply(1, 200, OK, 'body-1');
  await nodeEvents.once(socket, 'close');
  await settle();
  expect(rig.transport.attempts).toHaveLength(1);
  expect(bodies()).toEqual(['body-1']);
});

// Guards against work for a caller that has left, and against a waiting request that starts then.
test('when the caller disconnects, all its requests end and none starts', async () => {
  socket.write(get('/status/1') + get('/status/2') + post('/lodgement/3', 'x'));
  const attempts = [await rig.attempt(1), await rig.attempt(2)];
  socket.destroy();
  await until(() => attempts.every(({ cancelled }) => cancelled));
  await settle();
  expect(rig.transport.attempts).toHaveLength(2);
  expect(rig.server.exchangesInFlight).toBe(0);
});

// Guards against a shutdown that cuts off a request which has been passed on.
test('during a shutdown the last request that has started closes the connection', async () => {
  socket.write(get('/status/1') + get('/status/2'));
  await rig.attempt(2);
  rig.phase = 'draining';
  socket.write(post('/lodgement/3', 'x'));
  await settle();
  await rig.reply(1, 200, OK, 'body-1');
  await rig.reply(2, 200, OK, 'body-2');
  await nodeEvents.once(socket, 'close');
  expect(bodies()).toEqual(['body-1', 'body-2']);
  expect(received.match(/connection: close/gi)).toHaveLength(1);
  expect(rig.transport.attempts).toHaveLength(2);
});

// Guards against a request that is passed on behind a response which closes the connection.
test('during a shutdown nothing starts behind a closing response that waits for its turn', async () => {
  socket.write(get('/status/1') + get('/status/2'));
  await rig.attempt(2);
  rig.phase = 'draining';
  await rig.reply(2, 200, OK, 'body-2');
  socket.write(post('/lodgement/3', 'x'));
  await settle();
  await rig.reply(1, 200, OK, 'body-1');
  await nodeEvents.once(socket, 'close');
  await settle();
  expect(bodies()).toEqual(['body-1', 'body-2']);
  expect(rig.transport.attempts).toHaveLength(2);
});

// Guards against a caller that fills the memory with requests it does not wait for.
test('the requests read ahead on one connection are bounded', async () => {
  const count = 20_000;
  const writeMore = () => socket.write(get('/status/1').repeat(1_000));
  for (let written = 0; written < count; written += 1_000) writeMore();
  await until(() => rig.transport.attempts.length === callerConnection.MAX_CONCURRENT_EXCHANGES);
  await settle();
  expect(rig.transport.attempts).toHaveLength(callerConnection.MAX_CONCURRENT_EXCHANGES);
  expect(rig.server.exchangesInFlight).toBe(callerConnection.MAX_WAITING_EXCHANGES);
});

test('requests beyond the bound are read and answered once there is room', async () => {
  const count = 3 * callerConnection.MAX_WAITING_EXCHANGES;
  for (let index = 1; index <= count; index += 1) socket.write(get(`/status/${index}`));
  for (let index = 1; index <= count; index += 1) {
    await rig.reply(index, 200, OK, `body-${index}`);
  }
  await until(() => bodies().length === count);
  expect(bodies()).toEqual(Array.from({ length: count }, (_, index) => `body-${index + 1}`));
});

// Guards against a stack overflow when many requests behind one in progress are refused at once.
test.each([
  ['by their deadline', '/lodgement/2', callerConnection.MAX_WAITING_EXCHANGES - 1],
  ['as they begin', '/unknown/2', 1_600],
])('waiting requests may be refused one after the other: %s', async (_, path, count) => {
  const first = get('/lodgement/1', 'request-timeout-ms: 5000\r\n');
  socket.write(first + get(path).repeat(count));
  await rig.attempt(1);
  await settle();
  rig.clock.advance(2_000);
  await rig.reply(1, 200, OK, 'body-1');
  await until(() => statuses().length === count + 1);
  expect(rig.refused.filter(({ detail }) => !detail.includes('none'))).toHaveLength(count);
  expect(rig.transport.attempts).toHaveLength(1);
});

// Guards against bytes written for a malformed request that the caller takes for another response.
test('a malformed request behind others closes the connection after their responses', async () => {
  socket.write(`${get('/status/1')}${get('/status/2')}NONSENSE\r\n\r\n`);
  await rig.reply(2, 200, OK, 'body-2');
  await rig.reply(1, 200, OK, 'body-1');
  await nodeEvents.once(socket, 'close');
  expect(statuses()).toEqual(['200', '200']);
});

// Guards against a refusal that the caller takes for the response to the request before.
test('a request for a tunnel behind others closes the connection after their responses', async () => {
  socket.write(`${get('/status/1')}CONNECT a:80 HTTP/1.1\r\nhost: a\r\n\r\n`);
  await rig.reply(1, 200, OK, 'body-1');
  await nodeEvents.once(socket, 'close');
  expect(statuses()).toEqual(['200']);
});

// Guards against a request that is read and never answered.
test('a request that asks for another protocol closes its connection', async () => {
  const headers = 'connection: upgrade\r\nupgrade: h2c\r\n';
  socket.write(get('/status/1', headers) + get('/status/2'));
  await rig.reply(1, 200, OK, 'body-1');
  await until(() => socket.closed);
  expect(bodies()).toEqual(['body-1']);
  expect(received).toMatch(/^connection: close\r$/im);
});

// Guards against callers that together fill the memory with requests that they send ahead.
test('the requests read ahead on all connections are bounded, and others are still served', async () => {
  // The server of the rig takes eight requests at the same time.
  const sockets = Array.from({ length: 7 }, () => rig.connect());
  const ahead = post('/lodgement/1', 'x') + post('/lodgement/2', 'x').repeat(900);
  sockets.forEach((pipelining) => pipelining.resume().write(ahead));
  const bound = sockets.length * callerConnection.MAX_WAITING_EXCHANGES;
  await until(() => rig.server.exchangesInFlight === bound);
  await settle();
  expect(rig.server.exchangesInFlight).toBe(bound);
  socket.write(get('/status/3'));
  await until(() => rig.transport.attempts.at(-1)?.call.path === '/3');
  await rig.reply(rig.transport.attempts.length, 200, OK, 'body-3');
  await until(() => bodies().length === 1);
  sockets.forEach((pipelining) => pipelining.destroy());
});

// Guards against connections that together hold more than the daemon has memory for.
test('the connection that holds most is closed, and others are still served', async () => {
  rig.budget = new byteBudget.ByteBudget({ ...byteBudget.UNLIMITED, connectionBytes: 250_000 });
  const sockets = Array.from({ length: 3 }, () => rig.connect());
  const ahead = post('/lodgement/1', 'x').repeat(900);
  sockets.forEach((pipelining) => pipelining.resume().write(ahead));
  await until(() => sockets.some(({ closed }) => closed));
  const ordinary = rig.connect();
  ordinary.write(get('/none/1'));
  await nodeEvents.once(ordinary, 'data');
  expect(rig.budget.connectionBytes).toBeLessThan(250_000);
  [...sockets, ordinary].forEach((one) => one.destroy());
  await until(() => rig.server.connectionCount === 1);
  expect(rig.budget.connectionBytes).toBe(0);
});

// Guards against a refusal that the caller takes for the response to a request before.
test('a malformed request behind unread responses closes the connection after them', async () => {
  socket.pause().write(get('/status/1') + get('/status/2'));
  await rig.reply(1, 200, OK, 'z'.repeat(UNREAD_BODY_BYTES));
  await rig.reply(2, 200, OK, 'body-2');
  socket.write('NONSENSE\r\n\r\n');
  await settle();
  socket.resume();
  await nodeEvents.once(socket, 'close');
  expect(statuses()).toEqual(['200', '200']);
  expect(bodies()).toEqual(['body-2']);
});

// Guards against an answer that is cut off because of the request after it.
test('a header timeout behind an unread response closes the connection after it', async () => {
  rig.server.setTimeouts(10, 60_000);
  socket.pause().write(get('/status/1'));
  await rig.reply(1, 200, OK, 'z'.repeat(UNREAD_BODY_BYTES));
  socket.write('GET /status/2');
  // Node.js checks for header timeouts once a second.
  await timers.setTimeout(2_500);
  rig.clock.advance(5_000);
  socket.resume();
  await nodeEvents.once(socket, 'close');
  expect(statuses()).toEqual(['200']);
  expect(received.split('z')).toHaveLength(UNREAD_BODY_BYTES + 1);
});
