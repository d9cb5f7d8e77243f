import * as nodeEvents from 'node:events';
import * as net from 'node:net';

import type * as callTypes from '../../common/call/Types';
import * as manualClock from '../../common/ManualClock';
import * as seededRandom from '../../common/SeededRandom';
import * as httpTransport from './HttpTransport';

const MAX_ANSWER_BYTES = 64 * 1024;

/** Bytes of one write of the server. */
const PIECE_BYTES = 16 * 1024;

/**
 * Bytes that a server may get rid of before its connection is closed: the limit on an answer, and
 * what the buffers of both sockets hold.
 */
const MAX_SENT_BYTES = 16 * 1024 * 1024;

const START = 'HTTP/1.1 200 OK\r\n';
const TEXT = 'x'.repeat(PIECE_BYTES);
const HEADER_LINES = 'x: yyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n'.repeat(PIECE_BYTES / 32);
const CHUNK = `${PIECE_BYTES.toString(16)}\r\n${TEXT}\r\n`;
const CHUNKED = `${START}transfer-encoding: chunked\r\n\r\n`;
const CONTINUE = 'HTTP/1.1 100 Continue\r\n\r\n';

let transport: httpTransport.HttpTransport;
let server: net.Server;
let socket: net.Socket | undefined;
let sentBytes: number;
let closed: Promise<void>;

/** Writes `first`, then `piece` without end, as fast as the daemon reads. */
function startServer(first: string, piece: string): Promise<unknown> {
  server = net.createServer((accepted) => {
    socket = accepted;
    accepted.on('error', () => undefined);
    closed = new Promise((resolve) => {
      accepted.on('close', () => resolve());
    });
    const writeMore = () => {
      while (piece !== '' && !accepted.destroyed && sentBytes < 4 * MAX_SENT_BYTES) {
        sentBytes += piece.length;
        if (!accepted.write(piece, 'latin1')) {
          accepted.once('drain', writeMore);
          return;
        }
      }
    };
    accepted.once('data', () => {
      accepted.write(first, 'latin1');
      writeMore();
    });
  });
  return nodeEvents.once(server.listen(0, '127.0.0.1'), 'listening');
}

function send(maxAnswerBytes = MAX_ANSWER_BYTES): Promise<callTypes.AttemptOutcome> {
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  const row = { address, failureDomain: 'a', weight: 1, slots: 3, maxConnections: 39 };
  const call = {
    ...{ requestId: '1', method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) },
    ...{ deadlineMs: 1_000, depth: 0, retriesSpent: 0, fingerprint: '' },
    service: { maxAnswerBytes, idempotent: true },
    table: { maxDaemons: 10 },
  } as unknown as callTypes.ICall;
  return new Promise((resolve) => {
    transport.send(
      call,
      { ...row, service: 'reads' },
      {
        mayStart: () => true,
        mayAbandon: () => true,
        onSent: () => undefined,
        onLoadReport: () => undefined,
        onEnd: resolve,
      },
    );
  });
}

beforeEach(() => {
  sentBytes = 0;
  socket = undefined;
  const clock = new manualClock.ManualClock();
  transport = new httpTransport.HttpTransport(clock, new seededRandom.SeededRandom(1));
});

afterEach(async () => {
  transport.dispose();
  socket?.destroy();
  await nodeEvents.once(server.close(), 'close');
});

// Guards against a server that sends bytes until the caller closes: they must fill neither the
// memory nor the link of the daemon until the deadline of the call.
test.each([
  ['a status line', 'HTTP/1.1 200 O', TEXT],
  ['a header', `${START}x: `, TEXT],
  ['a name of a header', START, TEXT],
  ['header lines', START, HEADER_LINES],
  ['informational responses', CONTINUE, CONTINUE.repeat(PIECE_BYTES / CONTINUE.length)],
  ['a chunked body', CHUNKED, CHUNK],
  ['a size of a chunk', CHUNKED, '0'.repeat(PIECE_BYTES)],
  ['an extension of a chunk', `${CHUNKED}1;`, TEXT],
  ['trailers', `${CHUNKED}0\r\n`, HEADER_LINES],
  ['a body without a length', `${START}\r\n`, TEXT],
  ['a body longer than its length', `${START}content-length: 1000000000\r\n\r\n`, TEXT],
  ['bytes that are no answer', '', '\0'.repeat(PIECE_BYTES)],
  ['empty lines', '', '\r\n'.repeat(PIECE_BYTES / 2)],
])('%s without end loses the attempt and closes the connection', async (_name, first, piece) => {
  await startServer(first, piece);
  expect(await send()).toMatchObject({ kind: 'lost' });
  await closed;
  expect(sentBytes).toBeLessThanOrEqual(MAX_SENT_BYTES);
});

const ANY_CHUNK_BODY_BYTES = 256 * 1024;
const LARGE_ANSWER_BYTES = 16 * 1024 * 1024;

// Guards against an answer that takes the processor for seconds by an event for each of its bytes.
test('chunks of one byte lose the attempt long before the size limit of an answer', async () => {
  await startServer(CHUNKED, '1\r\nx\r\n'.repeat(PIECE_BYTES / 8));
  expect(await send(LARGE_ANSWER_BYTES)).toMatchObject({ kind: 'lost' });
  await closed;
  expect(sentBytes).toBeLessThanOrEqual(MAX_SENT_BYTES);
});

// Guards against a whole answer that is lost because its server writes it in small chunks.
test.each([
  ['one byte', ANY_CHUNK_BODY_BYTES, 1],
  ['24 bytes', 4 * ANY_CHUNK_BODY_BYTES, 24],
])('an answer in chunks of %s is complete', async (_name, size, chunkSize) => {
  const chunk = `${chunkSize.toString(16)}\r\n${'x'.repeat(chunkSize)}\r\n`;
  const count = Math.floor(size / chunkSize);
  await startServer(`${CHUNKED}${chunk.repeat(count)}0\r\n\r\n`, '');
  const outcome = await send(LARGE_ANSWER_BYTES);
  if (outcome.kind !== 'answered') throw new Error(JSON.stringify(outcome));
  expect(outcome.answer.body).toHaveLength(count * chunkSize);
});
