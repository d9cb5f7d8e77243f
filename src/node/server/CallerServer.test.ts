import * as nodeEvents from 'node:events';
import * as net from 'node:net';

import * as requestKeyCodec from '../../common/keys/RequestKeyCodec';
import * as byteBudget from '../../common/memory/ByteBudget';
import * as callerServerRig from './testing/CallerServerRig';

const CLOSE = 'host: x\r\nconnection: close\r\n';

let rig: callerServerRig.CallerServerRig;

beforeEach(async () => {
  rig = new callerServerRig.CallerServerRig();
  await rig.listen();
});

afterEach(() => rig.close());

function get(headers: string, path = '/status/a'): string {
  return `GET ${path} HTTP/1.1\r\n${CLOSE}${headers}\r\n`;
}

function post(headers: string, body: string, path = '/status/a'): string {
  return `POST ${path} HTTP/1.1\r\n${CLOSE}${headers}\r\n${body}`;
}

const LARGE_ANSWER_BYTES = 16 * 1024 * 1024;

const LONG = 'x'.repeat(17_000);
const MALFORMED = 'malformed-request';
const TE = 'transfer-encoding: chunked\r\n';
const TWO_KEYS = 'idempotency-key: a\r\n'.repeat(2);
const KEY_CONTENT = {
  issuer: '10.0.0.1:1',
  incarnation: 1,
  sequence: 1,
  issuedAtMs: 1,
  code: 'A'.repeat(22),
};
const KEY = requestKeyCodec.RequestKeyCodec.encode(KEY_CONTENT);

const INVALID_REQUESTS: [string, string, number, string][] = [
  ['a request that is not HTTP', 'hello\r\n\r\n', 400, MALFORMED],
  ['invalid bytes in the target', get('', '/status/\xe9'), 400, MALFORMED],
  ['headers too large', get(`x: ${LONG}\r\n`), 431, 'headers-too-large'],
  ['a length and chunked encoding', post(`content-length: 1\r\n${TE}`, ''), 400, MALFORMED],
  ['two lengths', post('content-length: 1\r\ncontent-length: 2\r\n', ''), 400, MALFORMED],
  ['a bad chunk', post(TE, 'zz\r\n'), 400, MALFORMED],
  ['no host', 'GET /status/a HTTP/1.1\r\nconnection: close\r\n\r\n', 400, MALFORMED],
  ['two hosts', get('host: y\r\n'), 400, MALFORMED],
  ['a target that is not a path', get('', '*'), 400, MALFORMED],
  ['CONNECT', `CONNECT a:80 HTTP/1.1\r\n${CLOSE}\r\n`, 400, MALFORMED],
  ['an unsupported expectation', get('expect: x\r\n'), 400, MALFORMED],
  ['an empty service name', get('', '/'), 404, 'unknown-service'],
  ['unknown service', get('', '/a%2Fb'), 404, 'unknown-service'],
  ['a deadline of 0', get('request-timeout-ms: 0\r\n'), 400, 'invalid-deadline'],
  [
    'a deadline that is not an integer',
    get('request-timeout-ms: 1e3\r\n'),
    400,
    'invalid-deadline',
  ],
  ['a deadline of a week', get('request-timeout-ms: 604800000\r\n'), 400, 'invalid-deadline'],
  ['two deadlines', get('request-timeout-ms: 1\r\n'.repeat(2)), 400, 'invalid-deadline'],
  ['a depth that is not an integer', get('call-depth: x\r\n'), 400, MALFORMED],
  ['negative retries', get('retries-spent: -1\r\n'), 400, MALFORMED],
  ['a call depth above the limit', get('call-depth: 17\r\n'), 508, 'call-too-deep'],
  ['a body too large', post('content-length: 1001\r\n', LONG), 413, 'body-too-large'],
  ['chunks too large', post(TE, `3e9\r\n${LONG.slice(0, 1_001)}\r\n`), 413, 'body-too-large'],
  ['no key', post('', '', '/keyed/a'), 428, 'request-key-missing'],
  ['two keys', post(TWO_KEYS, '', '/keyed/a'), 422, 'request-key-invalid'],
];

// Guards against requests that are dropped, or refused without machine-readable problem details.
test.each(INVALID_REQUESTS)('refuses %s', async (_name, raw, status, kind) => {
  const [head = '', body = ''] = (await rig.exchange(raw)).split('\r\n\r\n');
  expect(head).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
  expect(head.toLowerCase()).toContain('content-type: application/problem+json');
  expect(head.toLowerCase()).toContain('request-outcome: not-run');
  const problem = JSON.parse(body) as Record<string, unknown>;
  expect(problem).toMatchObject({ kind, status, outcome: 'not-run', dispatched: false });
  expect(rig.refused).toMatchObject([{ kind, requestId: problem.requestId }]);
  expect(rig.transport.attempts).toHaveLength(0);
});

test('refuses requests while stopping', async () => {
  rig.phase = 'stopping';
  const text = await rig.exchange(get(''));
  expect(text).toMatch(/^HTTP\/1.1 503 /);
  expect(text).toContain('"kind":"shutting-down"');
});

test.each([
  ['/status', '/'],
  ['/status?a=1', '/?a=1'],
  ['/status//a/../b%2fc%zz;d?e=%00#f', '//a/../b%2fc%zz;d?e=%00#f'],
  ['http://other/status/a', '/a'],
])('forwards the target %s as received', async (target, path) => {
  const done = rig.exchange(get('', target));
  const attempt = await rig.attempt(1);
  expect(attempt.call.path).toBe(path);
  await rig.reply(1, 200, [], 'ok');
  expect(await done).toMatch(/\r\n\r\nok$/);
});

// Guards against a caller that forges headers which only daemons may set.
test('forwards the headers of the caller without hop-by-hop and daemon headers', async () => {
  const own = 'request-id: a\r\nrequest-outcome: a\r\nrequest-deadline: 1\r\nbackend-state: a\r\n';
  const hop = 'Connection: close, X-Hop\r\nx-hop: a\r\nte: a\r\nproxy-authorization: a\r\n';
  const kept = 'X-A: 1\r\nx-a: 2\r\ncookie: b\r\n';
  const depth = 'call-depth: 3\r\nretries-spent: 1\r\nrequest-timeout-ms: 250\r\n';
  const done = rig.exchange(`GET /status/a HTTP/1.1\r\nhost: x\r\n${own}${hop}${kept}${depth}\r\n`);
  const { call, listener } = await rig.attempt(1);
  expect(call.headers).toEqual(['x-a', '1', 'x-a', '2', 'cookie', 'b']);
  expect(call).toMatchObject({ depth: 3, retriesSpent: 1, deadlineMs: 250 });
  listener.onEnd({ kind: 'answered', answer: { status: 200, headers: [], body: Buffer.alloc(0) } });
  await done;
});

test('answers carry the outcome of this daemon and no hop-by-hop headers', async () => {
  const done = rig.exchange(get(''));
  const outcome = ['request-outcome', 'not-run', 'request-id', 'forged'];
  const hop = ['connection', 'x-hop', 'x-hop', 'a', 'keep-alive', 'timeout=1'];
  await rig.reply(1, 503, [...outcome, ...hop, 'set-cookie', 'a', 'set-cookie', 'b'], 'no');
  const text = await done;
  expect(text).toContain('set-cookie: a\r\nset-cookie: b\r\ncontent-length: 2\r\n');
  expect(text).toContain('request-outcome: answered\r\n');
  expect(text).not.toMatch(/not-run|forged|x-hop|timeout=1/);
});

test.each([
  ['HEAD', 200, 'content-length: 5'],
  ['GET', 304, 'content-length: 5'],
  ['GET', 204, undefined],
])('forwards an answer without a body: %s %i', async (method, status, length) => {
  const done = rig.exchange(`${method} /status/a HTTP/1.1\r\n${CLOSE}\r\n`);
  await rig.reply(1, status, ['content-length', '5']);
  const text = await done;
  expect(/content-length: \d+/.exec(text)?.[0]).toBe(length);
  expect(text).not.toContain('transfer-encoding');
  expect(text).toMatch(/\r\n\r\n$/);
});

// Guards against `not-run` for a request that another daemon is running with the same key.
test.each(['stopping', 'ready'] as const)(
  'leaves the refusal of a keyed request to the issuer of its key: %s',
  async (phase) => {
    rig.phase = phase;
    const [detail, dispatched] = ['another daemon has it', false];
    rig.keyRefusal = { kind: 'unknown', reason: 'attempt-in-progress', detail, dispatched };
    const headers = `idempotency-key: ${KEY}\r\ncontent-length: 1001\r\n`;
    const text = await rig.exchange(post(headers, LONG, '/keyed/a'));
    expect(text).toContain('request-outcome: unknown');
    expect(rig.refusedKeys).toEqual([`keyed ${KEY}`]);
  },
);

test('ignores a key in a refusal if no daemon issued it or the service requires none', async () => {
  rig.phase = 'stopping';
  await rig.exchange(get('idempotency-key: mine\r\n'));
  await rig.exchange(get(`idempotency-key: ${KEY}\r\n`));
  expect(rig.refusedKeys).toEqual([]);
});

test('issues keys unless the daemon is shutting down', async () => {
  const raw = post('', '', '/.lavenderspar/request-keys?count=3');
  expect(await rig.exchange(raw)).toMatch(
    /200 [^]*answered[^]*{"keys":\["key 3"\],"lifetimeMs":9}$/,
  );
  expect(await rig.exchange(get('', '/.lavenderspar/request-keys'))).toContain('unknown-service');
  rig.phase = 'stopping';
  expect(await rig.exchange(raw)).toContain('shutting-down');
});

test('cancels the attempt of a caller that disconnects', async () => {
  const socket = rig.connect();
  socket.write('GET /status/a HTTP/1.1\r\nhost: x\r\n\r\n');
  const attempt = await rig.attempt(1);
  socket.destroy();
  while (!attempt.cancelled) await new Promise(setImmediate);
  expect(rig.refused).toMatchObject([{ kind: 'cancelled-by-caller', dispatched: true }]);
});

test('sends nothing to a server if the caller disconnects while sending the body', async () => {
  const socket = rig.connect();
  socket.write('POST /status/a HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nabc');
  while (rig.server.exchangesInFlight === 0) await new Promise(setImmediate);
  socket.resetAndDestroy();
  while (rig.refused.length === 0) await new Promise(setImmediate);
  expect(rig.refused).toMatchObject([{ kind: 'cancelled-by-caller', dispatched: false }]);
  expect(rig.transport.attempts).toHaveLength(0);
});

test('refuses a request whose body does not arrive before the deadline', async () => {
  const done = rig.exchange(post('content-length: 9\r\n', 'abc'));
  while (rig.server.exchangesInFlight === 0) await new Promise(setImmediate);
  rig.clock.advance(1_000);
  expect(await done).toContain('"kind":"deadline-before-dispatch"');
});

// Guards against an error response that a caller takes for the answer to its earlier request.
test('garbage after a request does not replace its answer', async () => {
  const done = rig.exchange('GET /status/a HTTP/1.1\r\nhost: x\r\n\r\ngarbage\r\n\r\n');
  await rig.reply(1, 200, [], 'mine');
  const text = await done;
  expect(text.match(/HTTP\/1.1 /g)).toHaveLength(1);
  expect(text).toMatch(/^HTTP\/1.1 200 [^]*mine$/);
});

test('answers pipelined requests in order', async () => {
  const done = rig.exchange(`GET /status/a HTTP/1.1\r\nhost: x\r\n\r\n${get('', '/status/b')}`);
  await rig.reply(2, 200, [], 'b');
  await rig.reply(1, 200, [], 'a');
  expect(await done).toMatch(/\r\n\r\naHTTP[^]*\r\n\r\nb$/);
});

test('sends 100 Continue only if the body will be read', async () => {
  const head = 'expect: 100-continue\r\ncontent-length: 1';
  expect(await rig.exchange(post(`${head}001\r\n`, ''))).toMatch(/^HTTP\/1.1 413 /);
  const done = rig.exchange(post(`${head}\r\n`, 'x'));
  await rig.reply(1, 200, [], 'ok');
  expect(await done).toMatch(/^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200 /);
});

test('close waits for requests in flight', async () => {
  const order: string[] = [];
  const done = rig
    .exchange('GET /status/a HTTP/1.1\r\nhost: x\r\n\r\n')
    .then(() => order.push('end'));
  await rig.attempt(1);
  rig.phase = 'stopping';
  const closed = rig.server.close().then(() => order.push('closed'));
  order.push('answer');
  await rig.reply(1, 200, [], 'ok');
  await Promise.all([done, closed]);
  expect(order[0]).toBe('answer');
  expect(rig.transport.attempts).toHaveLength(1);
});

// Guards against a slow connection that is reported as a malformed request (inc-11f7).
test('refuses a request whose headers do not arrive in time as incomplete', async () => {
  rig.server.setTimeouts(10, 5_000);
  expect(await rig.exchange('GET /status/a HTTP/1.1\r\nhost:')).toMatch(/^HTTP\/1.1 408 /);
  expect(rig.refused).toMatchObject([{ kind: 'request-incomplete', outcome: 'not-run' }]);
});

/** Blocks the process as a freeze does: meanwhile requests arrive, and timers become due. */
function pauseProcess(durationMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}

// Guards against a whole request that is refused as incomplete after a pause, and is run.
test('a request that arrived during a pause is run and not refused', async () => {
  rig.server.setTimeouts(1_000, 5_000);
  const socket = rig.connect();
  await nodeEvents.once(socket, 'connect');
  const received: string[] = [];
  socket.setEncoding('latin1').on('data', (text: string) => received.push(text));
  // The time for the head runs from the accept, which comes before that of a later connection.
  await rig.exchange(get('', '/none'));
  socket.write(get('', '/lodgement/a'));
  pauseProcess(2_500);
  await rig.reply(1, 200, [], 'ok');
  await nodeEvents.once(socket, 'close');
  expect(received.join('').match(/HTTP\/1.1 \d+/g)).toEqual(['HTTP/1.1 200']);
  expect(rig.refused).toMatchObject([{ kind: 'unknown-service' }]);
});

// Guards against a request on a kept connection that is closed unread after a pause.
test('a request that arrived during a pause on an idle connection is answered', async () => {
  rig.server.setTimeouts(1_000, 500);
  const socket = rig.connect();
  socket.write('GET /none/a HTTP/1.1\r\nhost: x\r\n\r\n');
  await nodeEvents.once(socket, 'data');
  socket.write(get(''));
  pauseProcess(2_500);
  await rig.reply(1, 200, [], 'ok');
  const [answer] = (await nodeEvents.once(socket, 'data')) as [Buffer];
  expect(answer.toString()).toMatch(/^HTTP\/1.1 200 /);
});

test('an idle connection is closed after its timeout', async () => {
  rig.server.setTimeouts(1_000, 100);
  const socket = rig.connect();
  socket.write('GET /none/a HTTP/1.1\r\nhost: x\r\n\r\n');
  await nodeEvents.once(socket.resume(), 'close');
  expect(rig.refused).toHaveLength(1);
});

// Guards against a lodgement that is refused as not run, and runs once the rest of it arrives.
test('a request that was refused as incomplete never runs', async () => {
  rig.server.setTimeouts(10, 5_000);
  const [first, rest] = ['POST /lodgement/a HTTP/1.1\r\n', 'host: x\r\ncontent-length: 0\r\n\r\n'];
  const socket = net.connect({ port: rig.server.port, host: '127.0.0.1', allowHalfOpen: true });
  socket.on('error', () => undefined).write(first);
  const [refusal] = (await nodeEvents.once(socket, 'data')) as [Buffer];
  expect(refusal.toString()).toMatch(/^HTTP\/1.1 408 /);
  socket.write(rest);
  while (rig.refused.length < 2) await new Promise(setImmediate);
  expect(rig.transport.attempts).toHaveLength(0);
  expect(rig.refused[1]).toMatchObject({ outcome: 'unknown', dispatched: false });
  rig.clock.advance(1_000);
  // A write to a connection that no longer exists fails once its reset has arrived.
  while (!socket.destroyed) {
    socket.write('x');
    await new Promise(setImmediate);
  }
});

// Guards against uploads that together take a daemon over its memory.
test('an upload without room is refused as not run, with a time to come back', async () => {
  rig.budget = new byteBudget.ByteBudget({ ...byteBudget.UNLIMITED, totalBytes: 100_000 });
  const held = rig.budget.reserveRequest();
  held.grow(100_000);
  const body = 'x'.repeat(80_000);
  const upload = post(`content-length: ${body.length}\r\n`, body, '/upload/a');
  const text = await rig.exchange(upload);
  expect(text).toMatch(/^HTTP\/1.1 503 [^]*"overloaded"/);
  expect(rig.refused).toMatchObject([{ outcome: 'not-run', retryAfterMs: 1_000 }]);
  expect(rig.transport.attempts).toHaveLength(0);
  held.dispose();
  const done = rig.exchange(upload);
  await rig.reply(1, 200, [], 'ok');
  expect(await done).toMatch(/^HTTP\/1.1 200 /);
  expect(rig.budget.totalBytes).toBe(0);
});

// Guards against slow readers whose answers are not counted, or are counted for ever.
test.each(['read', 'reset'])('an answer counts until it was written or lost: %s', async (end) => {
  const socket = rig.connect();
  socket.write('GET /status/a HTTP/1.1\r\nhost: x\r\n\r\n');
  await rig.reply(1, 200, [], 'x'.repeat(LARGE_ANSWER_BYTES));
  await new Promise(setImmediate);
  expect(rig.budget.bytesOf('reply')).toBe(LARGE_ANSWER_BYTES);
  if (end === 'reset') socket.resetAndDestroy();
  else socket.resume();
  while (rig.budget.totalBytes > 0) await new Promise(setImmediate);
  expect(rig.budget.totalBytes).toBe(0);
});
