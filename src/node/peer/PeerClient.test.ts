import * as net from 'node:net';

import * as tcpRelay from '../../standin/TcpRelay';
import * as peer from './generated/peer';
import * as peerClient from './PeerClient';
import * as peerServer from './PeerServer';

const MESSAGE = peer.ExchangeRequest.fromPartial({ tableVersion: 1 });

function listen(server: net.Server): Promise<number> {
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve((server.address() as net.AddressInfo).port));
  });
}

function forward(client: peerClient.PeerClient, address: string): Promise<string> {
  const request = peer.ForwardRequest.fromPartial({ requestId: '1', remainingMs: 60_000 });
  return new Promise((resolve) => {
    client.forward(address, request, ({ kind }) => resolve(kind));
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

// Guards against calls that wait until their deadline for a peer that has fallen silent.
test('a forwarded call is lost when the peer falls silent, and the next one is not', async () => {
  let isSilent = true;
  const server = net.createServer();
  const peerPort = await listen(server);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  const running = new peerServer.PeerServer(
    {
      exchange: () => peer.ExchangeReply.fromPartial({}),
      fetchTable: () => Promise.reject(new Error('not part of the test')),
    },
    undefined,
    {
      forward: (_request, onReply) => {
        if (!isSilent) onReply(peer.ForwardReply.fromPartial({}));
        return { cancel: () => undefined };
      },
    },
  );
  await running.listen(`127.0.0.1:${peerPort}`);
  const relay = new tcpRelay.TcpRelay('127.0.0.1', peerPort);
  const address = `127.0.0.1:${await relay.listen(0, '127.0.0.1')}`;
  const client = new peerClient.PeerClient();
  const first = forward(client, address);
  setTimeout(() => relay.cut('*', 'silent'), 200);
  expect(await first).toBe('lost');
  relay.heal('*');
  isSilent = false;
  let next = 'not-sent';
  // gRPC waits for a while before it connects again.
  while (next === 'not-sent') next = await forward(client, address);
  expect(next).toBe('reply');
  client.dispose();
  running.dispose();
  await relay.close();
});
