import * as nodeEvents from 'node:events';
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as stream from 'node:stream';

import * as systemClock from '../node/SystemClock';
import * as storeClient from './StoreClient';

const PIECE = ' '.repeat(64 * 1024);

/** Chunks of one byte. */
const SMALL_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(8_192));

/** Interval of the pieces of a slow reply, in milliseconds. */
const PIECE_INTERVAL_MS = 200;

/** Longest time that a watch waits, in milliseconds. */
const WATCH_MS = 30_000;

/** What a store may get rid of: the limit on a reply, and what the socket buffers hold. */
const MAX_SENT_BYTES = 32 * 1024 * 1024;

let server: http.Server;
let sentBytes: number;
let client: storeClient.StoreClient;

async function serve(respond: (response: http.ServerResponse) => void): Promise<void> {
  server = http.createServer((_request, response) => respond(response));
  await nodeEvents.once(server.listen(0, '127.0.0.1'), 'listening');
  const { port } = server.address() as net.AddressInfo;
  const clock = new systemClock.SystemClock();
  client = new storeClient.StoreClient(`http://127.0.0.1:${port}`, clock);
}

afterEach(async () => {
  client.reset();
  server.closeAllConnections();
  await nodeEvents.once(server.close(), 'close');
});

/** Writes bytes again and again, as fast as the client reads them. */
function writeForever(socket: stream.Writable, bytes: Buffer | string): void {
  sentBytes = 0;
  const writeMore = () => {
    while (!socket.destroyed && sentBytes < 8 * MAX_SENT_BYTES) {
      sentBytes += bytes.length;
      if (!socket.write(bytes)) {
        socket.once('drain', writeMore);
        return;
      }
    }
  };
  writeMore();
}

// Guards against a reply without end that fills the memory until the read times out.
test('a reply without end fails, and its connection is closed', async () => {
  await serve((response) => writeForever(response.writeHead(200), PIECE));
  expect(await client.list(true)).toMatchObject({ ok: false, error: { kind: 'unavailable' } });
  expect(sentBytes).toBeLessThanOrEqual(MAX_SENT_BYTES);
});

// Guards against an object for each chunk of a reply, which fill the memory before its bytes do.
test('a reply in chunks of one byte without end fails before its size does', async () => {
  await serve(({ socket }) => {
    if (socket === null) return;
    socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
    writeForever(socket, SMALL_CHUNKS);
  });
  const changes = await client.watch(1, WATCH_MS);
  expect(changes).toMatchObject({ ok: false, error: { kind: 'unavailable' } });
  expect(sentBytes).toBeLessThanOrEqual(MAX_SENT_BYTES);
}, 60_000);

// Guards against one malformed reply that ends the process.
test.each(['', 'null', '[]', '{"storeRevision":"1"}', '{"storeRevision":1,"items":[null]}', '{'])(
  'the reply %j fails or names no server',
  async (body) => {
    await serve((response) => response.end(body));
    const listed = await client.list(false);
    if (listed.ok) expect(listed.value.records.filter(({ kind }) => kind === 'server')).toEqual([]);
    else expect(listed.error.kind).toBe('unavailable');
  },
);

/** Sends a listing of `pieces` pieces, one each `PIECE_INTERVAL_MS`, and ends it if `isWhole`. */
function sendSlowly(response: http.ServerResponse, pieces: number, isWhole: boolean): void {
  response.writeHead(200);
  response.write('{"items":[],"truncated":false,"storeRevision":7');
  let sent = 0;
  const timer = setInterval(() => {
    sent += 1;
    if (sent <= pieces) response.write(' ');
    else if (isWhole) response.end('}');
    if (sent > pieces || response.destroyed) clearInterval(timer);
  }, PIECE_INTERVAL_MS);
}

// Guards against a configuration that is never read because it is large and the link slow.
test('a reply that takes long but arrives steadily is read', async () => {
  await serve((response) => sendSlowly(response, 12, true));
  expect(await client.list(false)).toMatchObject({ ok: true, value: { revision: 7 } });
});

// Guards against a read without end of a store that has fallen silent within its reply.
test('a reply that stops midway fails', async () => {
  await serve((response) => sendSlowly(response, 1, false));
  expect(await client.list(false)).toMatchObject({ ok: false, error: { kind: 'unavailable' } });
});
