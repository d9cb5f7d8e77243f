import * as nodeEvents from 'node:events';
import * as http from 'node:http';
import type * as net from 'node:net';

import * as storeClient from './StoreClient';

const PIECE = ' '.repeat(64 * 1024);

/** What a store may get rid of: the limit on a reply, and what the socket buffers hold. */
const MAX_SENT_BYTES = 32 * 1024 * 1024;

let server: http.Server;
let sentBytes: number;
let client: storeClient.StoreClient;

async function serve(respond: (response: http.ServerResponse) => void): Promise<void> {
  server = http.createServer((_request, response) => respond(response));
  await nodeEvents.once(server.listen(0, '127.0.0.1'), 'listening');
  const { port } = server.address() as net.AddressInfo;
  client = new storeClient.StoreClient(`http://127.0.0.1:${port}`);
}

afterEach(async () => {
  client.reset();
  server.closeAllConnections();
  await nodeEvents.once(server.close(), 'close');
});

/** Writes a body without end, as fast as the client reads. */
function writeForever(response: http.ServerResponse): void {
  sentBytes = 0;
  response.writeHead(200);
  const writeMore = () => {
    while (!response.destroyed && sentBytes < 8 * MAX_SENT_BYTES) {
      sentBytes += PIECE.length;
      if (!response.write(PIECE)) {
        response.once('drain', writeMore);
        return;
      }
    }
  };
  writeMore();
}

// Guards against a reply without end that fills the memory until the read times out.
test('a reply without end fails, and its connection is closed', async () => {
  await serve(writeForever);
  expect(await client.list(true)).toMatchObject({ ok: false, error: { kind: 'unavailable' } });
  expect(sentBytes).toBeLessThanOrEqual(MAX_SENT_BYTES);
});

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
