import * as nodeEvents from 'node:events';
import type * as net from 'node:net';

import * as callerServerRig from './testing/CallerServerRig';

const REQUEST = 'GET /status/1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n';

let rig: callerServerRig.CallerServerRig;
let socket: net.Socket;
let received: string;

beforeEach(async () => {
  rig = new callerServerRig.CallerServerRig();
  rig.phase = 'starting';
  await rig.listen();
  socket = rig.connect();
  received = '';
  socket.on('data', (data: Buffer) => {
    received += data.toString('latin1');
  });
  socket.write(REQUEST);
  while (rig.server.exchangesInFlight === 0) await new Promise(setImmediate);
});

afterEach(async () => {
  socket.destroy();
  await rig.close();
});

// Guards against callers that are refused by one starting daemon after the other.
test('a request that arrives while the daemon starts is served once it is ready', async () => {
  rig.clock.advance(400);
  expect(rig.transport.attempts).toHaveLength(0);
  rig.phase = 'ready';
  rig.ready.fire();
  await rig.reply(1, 200, [], 'ok');
  await nodeEvents.once(socket, 'close');
  expect(received).toMatch(/^HTTP\/1\.1 200 /);
});

// Guards against a request that is held although nobody knows when it can be served.
test('a request is refused as not run if the daemon does not become ready in time', async () => {
  rig.clock.advance(500);
  await nodeEvents.once(socket, 'close');
  expect(received).toMatch(/^HTTP\/1\.1 503 /);
  expect(received).toContain('"kind":"not-ready"');
  expect(rig.refused).toMatchObject([{ kind: 'not-ready', outcome: 'not-run' }]);
});

test('a caller that leaves while the daemon starts is not served later', async () => {
  socket.destroy();
  while (rig.server.exchangesInFlight > 0) await new Promise(setImmediate);
  rig.phase = 'ready';
  rig.ready.fire();
  rig.clock.advance(500);
  expect(rig.transport.attempts).toHaveLength(0);
});
