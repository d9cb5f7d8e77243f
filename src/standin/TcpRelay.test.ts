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

test('a cut resets established links and new ones until it is healed', async () => {
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

test('a cut of one source does not affect other sources', async () => {
  const { echo, relay, connect } = await open();
  relay.cut('127.9.9.9');
  expect(await echoes(connect())).toBe(true);
  await relay.close();
  echo.close();
});

// Guards against a cut of one source that ends early because that of another one is healed.
test('healing one source leaves the silenced connections of others open', async () => {
  const { echo, relay, connect } = await open();
  relay.cut('*', 'silent');
  const socket = connect();
  socket.on('error', () => undefined);
  // The relay has accepted a connection, and closed one, before it accepts the next but one.
  const settle = async () => {
    for (let count = 0; count < 2; count += 1) {
      await events.once(
        connect().on('error', () => undefined),
        'connect',
      );
    }
  };
  await settle();
  relay.heal('127.9.9.9');
  let hasClosed = false;
  socket.once('close', () => {
    hasClosed = true;
  });
  await settle();
  expect(hasClosed).toBe(false);
  relay.heal('*');
  if (!hasClosed) await events.once(socket, 'close');
  await relay.close();
  echo.close();
});

// Guards against soak faults that leave the traffic unaffected.
test('a one-way cut delivers data to the target and returns none', async () => {
  const received: string[] = [];
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      received.push(data.toString());
      socket.write('reply');
    });
  });
  server.listen(0, '127.0.0.1');
  await events.once(server, 'listening');
  const { port } = server.address() as net.AddressInfo;
  const relay = new tcpRelay.TcpRelay('127.0.0.1', port);
  const relayPort = await relay.listen(0, '127.0.0.1');
  relay.cut('*', 'one-way');
  const socket = net.connect(relayPort, '127.0.0.1');
  let replies = 0;
  socket.on('data', () => {
    replies += 1;
  });
  const atServer = events.once(server, 'connection');
  socket.write('hello');
  const [accepted] = (await atServer) as [net.Socket];
  await events.once(accepted, 'data');
  const closed = events.once(socket, 'close');
  relay.heal('*');
  await closed;
  expect(received).toEqual(['hello']);
  expect(replies).toBe(0);
  await relay.close();
  server.close();
});

test('a delayed link delivers all data in order', async () => {
  const { echo, relay, connect } = await open();
  relay.delayMs = 20;
  const socket = connect();
  let text = '';
  socket.on('data', (data) => {
    text += data.toString();
  });
  for (let count = 0; count < 10; count += 1) socket.write(`${count};`);
  while (text.length < 20) await events.once(socket, 'data');
  expect(text).toBe('0;1;2;3;4;5;6;7;8;9;');
  await relay.close();
  echo.close();
});
