import * as freePorts from '../../standin/FreePorts';
import * as peer from './generated/peer';
import * as peerClient from './PeerClient';
import * as peerListener from './PeerListener';
import * as peerServer from './PeerServer';

const REQUEST = peer.ExchangeRequest.fromPartial({ tableVersion: 1 });

let port: number;
let listener: peerListener.PeerListener;
let server: peerServer.PeerServer;
let client: peerClient.PeerClient;

beforeEach(async () => {
  [port] = (await freePorts.freePorts(1)) as [number];
  listener = new peerListener.PeerListener();
  server = new peerServer.PeerServer({
    exchange: () => peer.ExchangeReply.fromPartial({ tableVersion: 2 }),
    fetchTable: () => Promise.reject(new Error('not part of the test')),
  });
  client = new peerClient.PeerClient();
  await listener.listen('127.0.0.1', port, () => undefined);
});

afterEach(() => {
  client.dispose();
  listener.dispose();
  server.dispose();
});

// Guards against a peer that is not heard because it connects while the modules are being loaded.
test('a message that arrives before the server is there gets its reply', async () => {
  const sent = client.exchange(`127.0.0.1:${port}`, REQUEST);
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  listener.handOver((socket) => server.receive(socket));
  expect(await sent).toMatchObject({ ok: true, value: { tableVersion: 2 } });
});

test('a message that arrives after the server is there gets its reply', async () => {
  listener.handOver((socket) => server.receive(socket));
  const reply = await client.exchange(`127.0.0.1:${port}`, REQUEST);
  expect(reply).toMatchObject({ ok: true, value: { tableVersion: 2 } });
});

// Guards against a stop during the start that leaves the connections of peers open.
test('a listener that is disposed before the server is there closes its connections', async () => {
  const sent = client.exchange(`127.0.0.1:${port}`, REQUEST);
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  listener.dispose();
  expect(await sent).toMatchObject({ ok: false });
});
