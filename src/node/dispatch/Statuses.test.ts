import * as nodeEvents from 'node:events';
import * as net from 'node:net';

import type * as callTypes from '../../common/call/Types';
import * as manualClock from '../../common/ManualClock';
import type * as policyTypes from '../../common/policy/Types';
import * as seededRandom from '../../common/SeededRandom';
import * as defaultBackendProtocol from './DefaultBackendProtocol';
import * as httpTransport from './HttpTransport';

/** Accepts answers without a length, so that each way to frame an answer can be tried. */
class CloseDelimitedProtocol extends defaultBackendProtocol.DefaultBackendProtocol {
  public override readonly allowsCloseDelimitedBody = true;
}

const WHOLE = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

/** Statuses out of the range of final and informational ones, or of another length. */
const STATUSES = ['000', '001', '099', '600', '999', '0', '2', '20', '0200', '2000', '', '-20'];

/** Answers with a status in place of `#`. */
const ANSWERS: readonly [string, string, boolean][] = [
  ['no body', 'HTTP/1.1 # S\r\n\r\n', false],
  ['no reason', 'HTTP/1.1 #\r\ncontent-length: 0\r\n\r\n', false],
  ['a length of 0', 'HTTP/1.1 # S\r\ncontent-length: 0\r\n\r\n', false],
  ['a body with a length', 'HTTP/1.1 # S\r\ncontent-length: 2\r\n\r\nok', false],
  ['chunks', 'HTTP/1.1 # S\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n', false],
  ['a body up to the close', 'HTTP/1.1 # S\r\n\r\nok', true],
  ['connection: close', 'HTTP/1.1 # S\r\nconnection: close\r\ncontent-length: 0\r\n\r\n', true],
  ['HTTP/1.0', 'HTTP/1.0 # S\r\n\r\nok', true],
  ['an answer behind it', `HTTP/1.1 # S\r\n\r\n${WHOLE}`, false],
  [
    'one that ends as an answer',
    `HTTP/1.1 # S\r\ncontent-length: ${WHOLE.length}\r\n\r\n${WHOLE}`,
    false,
  ],
  ['103 before it', 'HTTP/1.1 103 E\r\n\r\nHTTP/1.1 # S\r\ncontent-length: 2\r\n\r\nok', false],
  ['an upgrade', 'HTTP/1.1 # S\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n', false],
];

const CASES = STATUSES.flatMap((status) =>
  ANSWERS.map(([name, text, closes]) => [status, name, text, closes] as const),
);

let transport: httpTransport.HttpTransport;
let server: net.Server;
let sockets: net.Socket[];
let faulty: string;
let closes: boolean;

beforeEach(async () => {
  sockets = [];
  server = net.createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      if (data.toString('latin1').includes('/whole')) socket.write(WHOLE);
      else if (closes) socket.end(faulty);
      else socket.write(faulty);
    });
  });
  await nodeEvents.once(server.listen(0, '127.0.0.1'), 'listening');
  const clock = new manualClock.ManualClock();
  transport = new httpTransport.HttpTransport(
    clock,
    new seededRandom.SeededRandom(1),
    new CloseDelimitedProtocol(clock),
  );
});

afterEach(async () => {
  transport.dispose();
  sockets.forEach((socket) => socket.destroy());
  await nodeEvents.once(server.close(), 'close');
});

function rowOf() {
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  return {
    ...{ service: 'reads', address, failureDomain: 'a', weight: 1, slots: 3, maxConnections: 39 },
  };
}

function send(path: string, method = 'GET'): Promise<callTypes.AttemptOutcome> {
  const call = {
    ...{ requestId: '1', method, path, headers: [], body: Buffer.alloc(0) },
    ...{ deadlineMs: 1_000, depth: 0, retriesSpent: 0, fingerprint: '' },
    service: { maxAnswerBytes: 1_000, idempotent: true },
    table: { maxDaemons: 10 },
  } as unknown as callTypes.ICall;
  return new Promise((resolve) => {
    transport.send(call, rowOf(), {
      ...{ mayStart: () => true, mayAbandon: () => true },
      ...{ onSent: () => undefined, onLoadReport: () => undefined, onEnd: resolve },
    });
  });
}

function check(path: string): Promise<policyTypes.CheckReply> {
  return new Promise((resolve) => {
    transport.check(rowOf(), path, 1_000, resolve);
  });
}

// Guards against an answer that a caller cannot interpret, and against a connection whose next answer
// may begin anywhere.
test.each(CASES)('status "%s", %s: lost, and its connection is closed', async (...faults) => {
  [, , , closes] = faults;
  faulty = faults[2].replace('#', faults[0]);
  for (const method of ['GET', 'HEAD']) {
    expect(await send('/faulty', method)).toMatchObject({ kind: 'lost' });
    expect(await send('/whole')).toMatchObject({ kind: 'answered' });
    // On a connection that has carried an answer.
    expect(await send('/faulty', method)).toMatchObject({ kind: 'lost' });
    expect(await send('/whole')).toMatchObject({ kind: 'answered' });
    transport.retireConnections();
  }
  expect(sockets).toHaveLength(6);
  expect(sockets.filter(({ destroyed }) => !destroyed).length).toBeLessThanOrEqual(2);
});

// Guards against a server that counts as ready by a reply to a check that no server in order sends.
test.each(CASES)('status "%s", %s: a check does not find the server ready', async (...faults) => {
  [, , , closes] = faults;
  faulty = faults[2].replace('#', faults[0]);
  const kinds: string[] = [];
  for (const path of ['/faulty', '/whole', '/faulty']) kinds.push((await check(path)).kind);
  expect(kinds).toEqual([kinds[0], 'ready', kinds[0]]);
  expect(['silent', 'unreachable']).toContain(kinds[0]);
  expect(sockets).toHaveLength(2);
});

// Guards against a load that a server in trouble reports.
test.each(STATUSES)('a probe whose reply has status "%s" tells no load', async (status) => {
  const load = '{"inFlight":2,"queued":1,"slots":3}';
  faulty = `HTTP/1.1 ${status} S\r\ncontent-length: ${load.length}\r\n\r\n${load}`;
  closes = false;
  const report = new Promise((resolve) => {
    transport.probe(rowOf(), 1_000, resolve);
  });
  expect(await report).toBeUndefined();
});
