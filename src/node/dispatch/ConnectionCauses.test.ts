import * as nodeEvents from 'node:events';
import * as net from 'node:net';

import * as manualClock from '../../common/ManualClock';
import type * as policyTypes from '../../common/policy/Types';
import * as seededRandom from '../../common/SeededRandom';
import type * as tableTypes from '../../common/table/Types';
import * as httpTransport from './HttpTransport';

const OK = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

let clock: manualClock.ManualClock;
let transport: httpTransport.HttpTransport;
let server: net.Server;
let row: tableTypes.IServerRow;
let sockets: net.Socket[];
let requestCount: number;
/** What the server writes for each request; nothing if undefined. */
let answer: string | undefined;

beforeEach(async () => {
  sockets = [];
  requestCount = 0;
  answer = OK;
  server = net.createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      requestCount += 1;
      if (answer !== undefined) socket.write(answer);
    });
  });
  await nodeEvents.once(server.listen(0, '127.0.0.1'), 'listening');
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  row = { service: 's', address, failureDomain: 'a', weight: 1, slots: 2, maxConnections: 9 };
  clock = new manualClock.ManualClock();
  transport = new httpTransport.HttpTransport(clock, new seededRandom.SeededRandom(1));
});

afterEach(async () => {
  transport.dispose();
  sockets.forEach((socket) => socket.destroy());
  await nodeEvents.once(server.close(), 'close');
});

function check(): Promise<policyTypes.CheckReply> {
  return new Promise((resolve) => {
    transport.check(row, '/health', 1_000, resolve);
  });
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(setImmediate);
}

function counts(): Record<string, number> {
  return Object.fromEntries(transport.connectionCounts.byCause);
}

// Guards against openings and closures that are not counted, or counted twice.
test('openings and closures are counted by cause', async () => {
  await check();
  await check();
  expect(counts()).toEqual({ 'opened:check:none-open': 1 });
  clock.advance(60);
  sockets[0]?.end();
  await until(() => transport.connectionsOf(row.address).open === 0);
  await check();
  clock.advance(35_000);
  expect(counts()).toEqual({
    'opened:check:none-open': 2,
    'closed:server-idle': 1,
    'closed:idle': 1,
  });
});

// Guards against a connection that is closed after each answer because the server states a short
// idle timeout.
test('a connection to a server with an idle timeout of 2 s is used again', async () => {
  answer = OK.replace('\r\n\r\n', '\r\nkeep-alive: timeout=2\r\n\r\n');
  await check();
  await check();
  expect(sockets).toHaveLength(1);
});

// Guards against closing a connection that a full server accepts late, and opening another.
test('a new connection whose check times out is kept until the server answers', async () => {
  answer = undefined;
  const first = check();
  await until(() => requestCount === 1);
  clock.advance(1_000);
  expect(await first).toEqual({ kind: 'silent' });
  sockets[0]?.write(OK);
  await until(() => transport.hasIdleConnection(row.address));
  answer = OK;
  await check();
  expect(sockets).toHaveLength(1);
});

// Guards against connections to a server that never answers, which would stay open.
test('a new connection without an answer is closed after some seconds', async () => {
  answer = undefined;
  const first = check();
  await until(() => requestCount === 1);
  clock.advance(1_000);
  await first;
  clock.advance(4_000);
  expect(transport.connectionsOf(row.address).open).toBe(0);
  expect(counts()).toEqual({ 'opened:check:none-open': 1, 'closed:unanswered': 1 });
});
