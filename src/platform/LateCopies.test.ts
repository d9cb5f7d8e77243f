import * as nodeEvents from 'node:events';
import * as net from 'node:net';

import type * as callTypes from '../common/call/Types';
import * as manualClock from '../common/ManualClock';
import type * as policyTypes from '../common/policy/Types';
import * as seededRandom from '../common/SeededRandom';
import type * as tableTypes from '../common/table/Types';
import * as httpTransport from '../node/dispatch/HttpTransport';
import * as platformBackendProtocol from './PlatformBackendProtocol';

const INSTANCE = 'instance-id: i-1\r\n';

function response(status: number, lines: string, body = ''): string {
  return `HTTP/1.1 ${status} X\r\n${lines}content-length: ${body.length}\r\n\r\n${body}`;
}

const CHECK_OK = response(200, INSTANCE);
const CHECK_REFUSAL = response(503, 'not-executed: 1\r\n');
const refusalOf = (id: string) => response(503, `request-id: ${id}\r\nnot-executed: 1\r\n`);
const answerOf = (id: string) =>
  response(200, `request-id: ${id}\r\nresponse-signature: s\r\n`, `body of ${id}`);

let clock: manualClock.ManualClock;
let transport: httpTransport.HttpTransport;
let server: net.Server;
let row: tableTypes.IServerRow;
/** What the server writes for each request on a connection, in order. */
let responses: string[];
let connectionCount: number;

beforeEach(async () => {
  connectionCount = 0;
  server = net.createServer((socket) => {
    connectionCount += 1;
    socket.on('error', () => undefined);
    socket.on('data', () => socket.write(responses.shift() ?? ''));
  });
  await nodeEvents.once(server.listen(0, '127.0.0.1'), 'listening');
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  row = { address, service: 'a', failureDomain: 'a', weight: 1, slots: 3, maxConnections: 39 };
  row = { ...row, instance: 'i-1' };
  clock = new manualClock.ManualClock();
  transport = new httpTransport.HttpTransport(
    clock,
    new seededRandom.SeededRandom(1),
    new platformBackendProtocol.PlatformBackendProtocol(),
  );
});

afterEach(async () => {
  transport.dispose();
  await nodeEvents.once(server.close(), 'close');
});

function send(requestId: string): Promise<callTypes.AttemptOutcome> {
  const call = {
    ...{ requestId, method: 'POST', path: '/', headers: [], body: Buffer.from('x') },
    ...{ deadlineMs: 1_000, depth: 0, retriesSpent: 0, fingerprint: '' },
    service: { maxAnswerBytes: 1_000, idempotent: false },
    table: { maxDaemons: 10 },
  } as unknown as callTypes.ICall;
  return new Promise((resolve) => {
    transport.send(call, row, {
      mayStart: () => true,
      mayAbandon: () => true,
      onSent: () => undefined,
      onLoadReport: () => undefined,
      onEnd: resolve,
    });
  });
}

function check(): Promise<policyTypes.CheckReply> {
  return new Promise((resolve) => {
    transport.check(row, '/health', 1_000, resolve);
  });
}

// Guards against an earlier refusal, written once more, that tells a caller that its request has not
// run while the server runs it.
test('a second copy of a refused check does not refuse the request after it', async () => {
  responses = [CHECK_REFUSAL, CHECK_REFUSAL + answerOf('1')];
  await check();
  expect(await send('1')).toMatchObject({ kind: 'lost', reason: 'answer-invalid' });
});

test('a second copy of a refusal does not refuse the request after it', async () => {
  responses = [refusalOf('1'), refusalOf('1') + answerOf('2')];
  expect(await send('1')).toMatchObject({ kind: 'refused' });
  expect(await send('2')).toMatchObject({ kind: 'lost', reason: 'answer-invalid' });
});

// Guards against an answer that reaches the next caller on the connection.
test('a second copy of an answer does not answer the request after it', async () => {
  responses = [answerOf('1'), answerOf('1') + answerOf('2')];
  expect(await send('1')).toMatchObject({ kind: 'answered' });
  expect(await send('2')).toMatchObject({ kind: 'lost', reason: 'answer-invalid' });
});

// Guards against replies that stay one request behind on a connection.
test('a connection on which a copy came is not used again', async () => {
  responses = [answerOf('1'), answerOf('1'), CHECK_OK];
  await send('1');
  expect(await check()).toEqual({ kind: 'silent' });
  expect(await check()).toMatchObject({ kind: 'ready' });
  expect(connectionCount).toBe(2);
});

test('a refusal of the request itself is one, on a new and on a kept connection', async () => {
  responses = [refusalOf('1'), refusalOf('2')];
  expect(await send('1')).toMatchObject({ kind: 'refused' });
  expect(await send('2')).toMatchObject({ kind: 'refused' });
  expect(connectionCount).toBe(1);
});

// A refusal without an id can only belong to the first request on its connection.
test('a refusal without an id counts on a new connection', async () => {
  responses = [CHECK_REFUSAL];
  expect(await send('1')).toMatchObject({ kind: 'refused' });
});
