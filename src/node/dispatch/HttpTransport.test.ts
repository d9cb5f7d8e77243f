import * as nodeEvents from 'node:events';
import * as net from 'node:net';

import type * as callTypes from '../../common/call/Types';
import * as manualClock from '../../common/ManualClock';
import * as seededRandom from '../../common/SeededRandom';
import type * as tableTypes from '../../common/table/Types';
import * as httpTransport from './HttpTransport';
import * as defaultBackendProtocol from './DefaultBackendProtocol';

type Respond = (socket: net.Socket, request: string, count: number) => void;

const START = 'HTTP/1.1 200 OK\r\n';
const OK = `${START}content-length: 2\r\n\r\nok`;

/** Contains only the members that the transport reads. */
const TABLE = { maxDaemons: 10 } as tableTypes.ITable;

const CALL = {
  requestId: 'request-1',
  method: 'GET',
  path: '/item',
  headers: [],
  body: Buffer.alloc(0),
  deadlineMs: 1_000,
  depth: 0,
  retriesSpent: 0,
  fingerprint: '',
};

let clock: manualClock.ManualClock;
let transport: httpTransport.HttpTransport;
let server: net.Server;
let row: tableTypes.IServerRow;
let respond: Respond;
/** Raw requests in the order received, over all connections. */
let received: string[];
let sockets: net.Socket[];
let onReceived: () => void;
/** Whether another attempt could follow one that is given up. */
let mayAbandon: boolean;

/** Starts a server that writes raw bytes, so that tests can send malformed responses. */
beforeEach(async () => {
  received = [];
  sockets = [];
  onReceived = () => undefined;
  mayAbandon = true;
  server = net.createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      received.push(data.toString('latin1'));
      onReceived();
      respond(socket, data.toString('latin1'), received.length);
    });
  });
  await nodeEvents.once(server.listen(0, '127.0.0.1'), 'listening');
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  row = { service: 'reads', address, failureDomain: 'a', weight: 1, slots: 3, maxConnections: 39 };
  clock = new manualClock.ManualClock();
  transport = new httpTransport.HttpTransport(clock, new seededRandom.SeededRandom(1));
});

function closeServer(): Promise<unknown> {
  return nodeEvents.once(server.close(), 'close');
}

afterEach(async () => {
  transport.dispose();
  sockets.forEach((socket) => socket.destroy());
  await closeServer();
});

function callTo(service: string, overrides: Partial<callTypes.ICall> = {}): callTypes.ICall {
  return {
    ...CALL,
    service: { maxAnswerBytes: 100, idempotent: service === 'reads' } as tableTypes.IServiceRow,
    table: TABLE,
    ...overrides,
  };
}

function start(call: callTypes.ICall, mayStart: () => boolean = () => true) {
  const log: string[] = [];
  let attempt: callTypes.IAttempt | undefined;
  const outcome = new Promise<callTypes.AttemptOutcome>((resolve) => {
    attempt = transport.send(call, row, {
      mayStart,
      mayAbandon: () => mayAbandon,
      onSent: () => log.push('sent'),
      onLoadReport: (report) => log.push(`load ${report.inFlight}`),
      onEnd: (ended) => {
        log.push('end');
        resolve(ended);
      },
    });
  });
  return { attempt: attempt as callTypes.IAttempt, outcome, events: log };
}

function send(service = 'reads', overrides: Partial<callTypes.ICall> = {}) {
  return start(callTo(service, overrides)).outcome;
}

function check(): Promise<unknown> {
  return new Promise((resolve) => {
    transport.check(row, '/health', 1_000, resolve);
  });
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(setImmediate);
}

/** Responds with `text`, then closes the connection if `close` is set. */
function respondWith(text: string, close = false): Respond {
  return (socket) => {
    socket.write(text, 'latin1');
    if (close) socket.end();
  };
}

const CHUNKED = 'transfer-encoding: chunked\r\n\r\n';
const UPGRADE = 'HTTP/1.1 101 S\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n';
const BIG_CHUNK = `80\r\n${'x'.repeat(128)}\r\n`;

const BROKEN: [string, Respond, string][] = [
  ['closed without an answer', (socket) => socket.end(), 'connection-lost'],
  ['reset after the request was read', (socket) => socket.resetAndDestroy(), 'connection-lost'],
  ['not HTTP', respondWith('hello\r\n\r\n'), 'connection-lost'],
  ['truncated headers', respondWith(`${START}x: `, true), 'connection-lost'],
  ['a status of 000', respondWith('HTTP/1.1 000 OK\r\n\r\n'), 'answer-invalid'],
  ['an unrequested upgrade', respondWith(UPGRADE), 'connection-lost'],
  [
    'a truncated body',
    respondWith(`${START}content-length: 9\r\n\r\nok`, true),
    'answer-truncated',
  ],
  ['truncated chunks', respondWith(`${START}${CHUNKED}2\r\nok\r\n`, true), 'answer-truncated'],
  ['no length and no chunks', respondWith(`${START}\r\nok`, true), 'answer-unframed'],
  ['a length too large', respondWith(`${START}content-length: 101\r\n\r\n`), 'answer-too-large'],
  ['chunks too large', respondWith(`${START}${CHUNKED}${BIG_CHUNK}`), 'answer-too-large'],
  ['headers too large', respondWith(`${START}x: ${'x'.repeat(20_000)}\r\n\r\n`), 'connection-lost'],
];

// Guards against a broken response that reaches a caller, and against a request that is sent twice.
test.each(BROKEN)('reports a broken response as lost: %s', async (_name, broken, reason) => {
  respond = broken;
  expect(await send()).toMatchObject({ kind: 'lost', reason });
  expect(received).toHaveLength(1);
  respond = respondWith(OK);
  expect(await send()).toMatchObject({ kind: 'answered' });
  expect(sockets).toHaveLength(2);
});

/** Resets a connection. `resetAndDestroy` would first close it gracefully if data was written. */
function reset(socket: net.Socket): void {
  const handle = Reflect.get(socket, '_handle') as { reset(onClosed: () => void): number };
  handle.reset(() => socket.destroy());
}

class CloseDelimitedProtocol extends defaultBackendProtocol.DefaultBackendProtocol {
  public override readonly allowsCloseDelimitedBody = true;
}

// Guards against close-delimited responses that are rejected although the protocol allows them, and
// against one that is accepted although a reset truncated it.
test('a close-delimited response is complete only after a graceful close', async () => {
  transport.dispose();
  const protocol = new CloseDelimitedProtocol(clock);
  transport = new httpTransport.HttpTransport(clock, new seededRandom.SeededRandom(1), protocol);
  respond = respondWith(`${START}\r\nwhole`, true);
  const outcome = (await send()) as { answer: callTypes.IAnswer };
  expect(Buffer.from(outcome.answer.body).toString()).toBe('whole');
  expect(await send()).toMatchObject({ kind: 'answered' });
  expect(sockets).toHaveLength(2);
  respond = (socket) => socket.write(`${START}\r\npart`, () => reset(socket));
  expect(await send()).toMatchObject({ kind: 'lost', reason: 'answer-truncated' });
});

test('keeps repeated headers of a complete response, and reuses its connection', async () => {
  respond = respondWith(
    'HTTP/1.1 200 OK\r\nSet-Cookie: a\r\nset-cookie: b\xe9\r\ncontent-length: 2\r\n\r\nok',
  );
  const outcome = (await send()) as { answer: callTypes.IAnswer };
  const cookies = ['set-cookie', 'a', 'set-cookie', 'b\xe9'];
  expect(outcome.answer.headers).toEqual([...cookies, 'content-length', '2']);
  expect(Buffer.from(outcome.answer.body).toString()).toBe('ok');
  await send();
  expect(sockets).toHaveLength(1);
});

test('skips informational responses, and accepts 204 without a length', async () => {
  respond = respondWith(
    'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n',
  );
  expect(await send()).toMatchObject({ kind: 'answered', answer: { status: 204 } });
});

test('a response to HEAD is complete without a body', async () => {
  respond = respondWith('HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n');
  expect(await send('reads', { method: 'HEAD' })).toMatchObject({ kind: 'answered' });
});

test('does not reuse a connection whose response came before the request was read', async () => {
  const body = Buffer.alloc(32 * 1024 * 1024, 'x');
  respond = (socket, _request, count) => {
    if (count === 1) {
      socket.pause();
      socket.write(OK);
    } else if (sockets.indexOf(socket) > 0) socket.write(OK);
  };
  expect(await send('writes', { method: 'POST', body })).toMatchObject({ kind: 'answered' });
  expect(await send()).toMatchObject({ kind: 'answered' });
  expect(sockets).toHaveLength(2);
});

test('calls onSent before the first byte arrives', async () => {
  const seen: string[] = [];
  respond = respondWith(OK);
  const running = start(callTo('reads'));
  onReceived = () => seen.push(...running.events);
  await running.outcome;
  expect(seen).toEqual(['sent']);
});

test('reports a refused connection as not sent', async () => {
  await closeServer();
  const running = start(callTo('writes'));
  expect(await running.outcome).toMatchObject({ kind: 'not-sent' });
  expect(running.events).toEqual(['end']);
});

// Guards against requests to a server that asked for a pause while they waited for a connection.
test('sends nothing that is no longer wanted once the connection is open', async () => {
  respond = respondWith(OK);
  const running = start(callTo('writes'), () => false);
  expect(await running.outcome).toMatchObject({ kind: 'not-sent', reason: 'unwanted' });
  expect(running.events).toEqual(['end']);
  expect(await send('writes')).toMatchObject({ kind: 'answered' });
  expect(received).toHaveLength(1);
});

// Guards against the automatic retries of an HTTP client.
test('sends no request twice when a server closes connections as they are reused', async () => {
  respond = (socket) => {
    socket.write(OK);
    setImmediate(() => socket.destroy());
  };
  for (let count = 1; count <= 50; count += 1) {
    const path = `/${count}-`;
    // If the bytes were sent before the close was noticed, `lost` is the only correct outcome.
    const { kind } = await send('writes', { method: 'POST', path });
    const arrivals = received.filter((request) => request.includes(path)).length;
    expect([kind, arrivals]).toEqual([kind, kind === 'answered' ? 1 : Math.min(arrivals, 1)]);
  }
});

test('sends a request on a new connection if the idle one was closed', async () => {
  respond = respondWith(OK);
  for (let count = 1; count <= 20; count += 1) {
    expect(await send('writes', { method: 'POST' })).toMatchObject({ kind: 'answered' });
    expect(received).toHaveLength(count);
    await new Promise(setImmediate); // Waits until the close was read.
    sockets.at(-1)?.destroy();
    expect(sockets).toHaveLength(count);
  }
});

test('does not resend a request whose reused connection was reset after it was read', async () => {
  respond = (socket, _request, count) => {
    if (count % 2 === 1) socket.write(OK);
    else socket.resetAndDestroy();
  };
  for (let count = 2; count <= 20; count += 2) {
    await send('reads');
    expect(await send('reads')).toMatchObject({ kind: 'lost', reason: 'connection-lost' });
    expect(received).toHaveLength(count);
  }
});

test('cancel closes the connection, and no event follows', async () => {
  const closed = new Promise<void>((resolve) => {
    respond = (socket) => socket.once('close', () => resolve());
  });
  const arrived = new Promise<void>((resolve) => {
    onReceived = resolve;
  });
  const { attempt, events } = start(callTo('reads'));
  await arrived;
  attempt.cancel();
  await closed;
  expect(events).toEqual(['sent']);
  expect(transport.connectionsOf(row.address)).toEqual({ open: 0, idle: 0 });
});

test('opens no more connections than its share, and sends nothing beyond it', async () => {
  respond = () => undefined;
  const running = [1, 2, 3].map(() => start(callTo('reads')));
  expect(transport.connectionsOf(row.address).open).toBe(3);
  expect(await send()).toMatchObject({ kind: 'not-sent' });
  running.forEach(({ attempt }) => attempt.cancel());
});

test('sends no non-idempotent request on a connection that was idle for over 2 s', async () => {
  respond = respondWith(OK);
  await send('writes', { method: 'POST' });
  clock.advance(1_999);
  await send('writes', { method: 'POST' });
  expect(sockets).toHaveLength(1);
  clock.advance(2_001);
  await send('writes', { method: 'POST' });
  expect(sockets).toHaveLength(2);
});

test('ends an idempotent attempt on a silent connection after many newer exchanges', async () => {
  respond = (socket, request) => {
    if (!request.includes('/stuck')) socket.write(OK);
  };
  const stuck = start(callTo('reads', { path: '/stuck' }));
  const stuckWrite = start(callTo('writes', { path: '/stuck', method: 'POST' }));
  clock.advance(1_000);
  for (let count = 0; count < 16; count += 1) await send();
  expect(await stuck.outcome).toMatchObject({ kind: 'lost', reason: 'silent' });
  expect(stuckWrite.events).toEqual(['sent']);
  stuckWrite.attempt.cancel();
});

// Guards against a request at which a server works, and that is broken off because the server answers
// health checks at once (ogsl-gate, LOST after SIGTERM).
test('health checks beside a long request do not end it', async () => {
  const waiting: net.Socket[] = [];
  respond = (socket, request) => {
    if (request.includes('/slow')) waiting.push(socket);
    else socket.write(OK);
  };
  const slow = start(callTo('reads', { path: '/slow' }));
  await until(() => waiting.length === 1);
  clock.advance(1_000);
  for (let count = 0; count < 40; count += 1) await check();
  expect(slow.events).toEqual(['sent']);
  waiting.forEach((socket) => socket.write(OK));
  expect(await slow.outcome).toMatchObject({ kind: 'answered' });
});

// Guards against a caller that gets an error instead of an answer which is on its way.
test('an attempt that no other one could follow is not ended for its silence', async () => {
  mayAbandon = false;
  const waiting: net.Socket[] = [];
  respond = (socket, request) => {
    if (request.includes('/slow')) waiting.push(socket);
    else socket.write(OK);
  };
  const slow = start(callTo('reads', { path: '/slow' }));
  await until(() => waiting.length === 1);
  clock.advance(1_000);
  for (let count = 0; count < 20; count += 1) await send();
  waiting.forEach((socket) => socket.write(OK));
  expect(await slow.outcome).toMatchObject({ kind: 'answered' });
});

test('reuses no idle connection after a pause', async () => {
  respond = respondWith(OK);
  await send();
  transport.retireConnections();
  await send();
  expect(sockets).toHaveLength(2);
});

test('accepts a refusal only from the server itself', async () => {
  const refusal = 'HTTP/1.1 503 S\r\nrequest-outcome: not-run\r\ncontent-length: 0\r\n';
  respond = respondWith(`${refusal}backend-state: draining\r\n\r\n`);
  expect(await send()).toEqual({ kind: 'refused', draining: true });
  // A server that forwards the refusal of a daemon deeper in the call tree has run its own part.
  respond = respondWith(`${refusal}request-id: other\r\n\r\n`);
  expect(await send()).toMatchObject({ kind: 'answered', answer: { status: 503 } });
});

test('a probe returns the load, and undefined for an invalid reply', async () => {
  const probe = () =>
    new Promise((resolve) => {
      transport.probe(row, 500, resolve);
    });
  const load = '{"inFlight":2,"queued":1,"slots":3,"state":"draining"}';
  respond = respondWith(`HTTP/1.1 200 OK\r\ncontent-length: ${load.length}\r\n\r\n${load}`);
  expect(await probe()).toEqual({ inFlight: 2, queued: 1, draining: true });
  respond = respondWith('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnull');
  expect(await probe()).toBeUndefined();
});
