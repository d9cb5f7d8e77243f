import * as nodeEvents from 'node:events';
import * as net from 'node:net';

import * as systemClock from '../node/SystemClock';
import * as storeClient from './StoreClient';

const BODY = '{"items":[],"events":[],"storeRevision":7}';

/** Replies with a status in place of `#`; the first without a body, one a complete reply behind it. */
const REPLIES: readonly [string, string, boolean][] = [
  ['no body', 'HTTP/1.1 # S\r\ncontent-length: 0\r\n\r\n', false],
  ['a body', `HTTP/1.1 # S\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY}`, false],
  ['a body up to the close', `HTTP/1.1 # S\r\n\r\n${BODY}`, true],
  ['103 before it', `HTTP/1.1 103 E\r\n\r\nHTTP/1.1 # S\r\n\r\n${BODY}`, true],
  ['a reply behind it', `HTTP/1.1 # S\r\n\r\nHTTP/1.1 200 OK\r\n\r\n${BODY}`, true],
];

const CASES = ['000', '001', '099', '600', '999', '2', '20', '2000'].flatMap((status) =>
  REPLIES.map(([name, text, closes]) => [status, name, text, closes] as const),
);

let server: net.Server;
let client: storeClient.StoreClient;
let reply: string;
let closes: boolean;

beforeEach(async () => {
  server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => (closes ? socket.end(reply) : socket.write(reply)));
  });
  await nodeEvents.once(server.listen(0, '127.0.0.1'), 'listening');
  const { port } = server.address() as net.AddressInfo;
  const clock = new systemClock.SystemClock();
  client = new storeClient.StoreClient(`http://127.0.0.1:${port}`, clock);
});

afterEach(async () => {
  client.reset();
  await nodeEvents.once(server.close(), 'close');
});

// Guards against a listing that a store in trouble sends, taken for one without servers.
test.each(CASES)('status "%s", %s: the read fails, and the next one works', async (...faults) => {
  const sound = `HTTP/1.1 200 OK\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY}`;
  const unavailable = { ok: false, error: { kind: 'unavailable' } };
  for (const isReused of [false, true]) {
    [reply, closes] = [sound, false];
    if (isReused) expect(await client.list(false)).toMatchObject({ ok: true });
    [reply, closes] = [faults[2].replace('#', faults[0]), faults[3]];
    expect(await client.list(false)).toMatchObject(unavailable);
    expect(await client.watch(7, 1_000)).toMatchObject(unavailable);
  }
  [reply, closes] = [sound, false];
  expect(await client.list(false)).toMatchObject({ ok: true, value: { revision: 7 } });
});
