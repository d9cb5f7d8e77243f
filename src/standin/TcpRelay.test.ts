import * as events from 'node:events';
import * as net from 'node:net';

import * as tcpRelay from './TcpRelay';

async function open() {
  const echo = net.createServer((socket) => socket.pipe(socket));
  echo.listen(0, '127.0.0.1');
  await events.once(echo, 'listening');
  const { port } = echo.address() as net.AddressInfo;
  const relay = new tcpRelay.TcpRelay('127.0.0.1', port);
  const relayPort = await relay.listen(0, '127.0.0.1');
  const connect = () => net.connect(relayPort, '127.0.0.1');
  return { echo, relay, connect };
}

async function echoes(socket: net.Socket): Promise<boolean> {
  socket.write('hello');
  const [first] = (await Promise.race([
    events.once(socket, 'data'),
    events.once(socket, 'close'),
  ])) as [unknown];
  return Buffer.isBuffer(first);
}

test('a cut breaks established links and refuses new ones until it heals', async () => {
  const { echo, relay, connect } = await open();
  const socket = connect();
  expect(await echoes(socket)).toBe(true);
  relay.cut('127.0.0.1');
  await events.once(socket, 'close');
  expect(await echoes(connect())).toBe(false);
  relay.heal('127.0.0.1');
  const healed = connect();
  expect(await echoes(healed)).toBe(true);
  await relay.close();
  echo.close();
});

test('a cut of one source leaves the others alone', async () => {
  const { echo, relay, connect } = await open();
  relay.cut('127.9.9.9');
  expect(await echoes(connect())).toBe(true);
  await relay.close();
  echo.close();
});
