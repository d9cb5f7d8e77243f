import * as net from 'node:net';

import * as peer from './generated/peer';
import * as peerClient from './PeerClient';
import * as peerServer from './PeerServer';

const MESSAGE = peer.ExchangeRequest.fromPartial({ tableVersion: 1 });

function listen(server: net.Server): Promise<number> {
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve((server.address() as net.AddressInfo).port));
  });
}

test('a connection that stopped responding is replaced after one failed exchange', async () => {
  const portReservation = net.createServer();
  const port = await listen(portReservation);
  await new Promise((resolve) => {
    portReservation.close(resolve);
  });
  const server = new peerServer.PeerServer({
    exchange: () => peer.ExchangeReply.fromPartial({ tableVersion: 2 }),
    fetchTable: () => Promise.reject(new Error('not part of the test')),
  });
  await server.listen(`127.0.0.1:${port}`);
  const sockets: net.Socket[] = [];
  const relay = net.createServer((socket) => {
    const upstream = net.connect(port, '127.0.0.1');
    [socket, upstream].forEach((end) => end.on('error', () => undefined));
    socket.pipe(upstream).pipe(socket);
    sockets.push(socket, upstream);
  });
  const address = `127.0.0.1:${await listen(relay)}`;
  const client = new peerClient.PeerClient(500);
  const replies: boolean[] = [];
  replies.push((await client.exchange(address, MESSAGE)).ok);
  sockets.forEach((socket) => socket.unpipe().pause());
  replies.push((await client.exchange(address, MESSAGE)).ok);
  replies.push((await client.exchange(address, MESSAGE)).ok);
  expect(replies).toEqual([true, false, true]);
  client.dispose();
  server.dispose();
  sockets.forEach((socket) => socket.destroy());
  relay.close();
});
