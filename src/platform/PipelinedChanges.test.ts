import * as nodeEvents from 'node:events';
import * as net from 'node:net';

import type * as routedDaemon from '../node/RoutedDaemon';
import type * as routedSettings from '../node/settings/RoutedSettings';
import * as freePorts from '../standin/FreePorts';
import * as platformDaemon from './testing/PlatformDaemon';
import * as platformRecords from './testing/PlatformRecords';
import * as platformServer from './testing/PlatformServer';
import * as platformStore from './testing/PlatformStore';

jest.setTimeout(60_000);

let store: platformStore.PlatformStore;
let servers: platformServer.PlatformServer[];
let daemon: routedDaemon.RoutedDaemon;
let settings: routedSettings.RoutedSettings;
let socket: net.Socket;
let received: string;
/** Identifiers of the pipelined requests, in their order. */
let sent: string[];

async function until(check: () => boolean): Promise<void> {
  for (let tries = 0; tries < 2_000; tries += 1) {
    if (check()) return;
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
  throw new Error(`not reached; received: ${received}`);
}

function get(id: string): string {
  return (
    `GET /x/${id} HTTP/1.1\r\nHost: ${platformRecords.HOST}\r\nRequest-Id: ${id}\r\n` +
    'Request-Deadline: 60000\r\n\r\n'
  );
}

/** Sends further requests on the connection, without waiting for responses. */
function sendNext(count: number): void {
  for (let index = 0; index < count; index += 1) {
    const id = `id-${sent.length}`;
    sent.push(id);
    socket.write(get(id));
  }
}

function statuses(): readonly string[] {
  return [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status as string);
}

function bodies(): readonly string[] {
  return [...received.matchAll(/body of \S+ for (id-\d+)/g)].map(([, id]) => id as string);
}

function publish(version: number, service: string): void {
  const rule = { prefix: '/x/', service, timeout: '60s' };
  store.put('op/config', platformRecords.makeConfiguration(version, [rule]));
}

beforeEach(async () => {
  received = '';
  sent = [];
  store = new platformStore.PlatformStore();
  servers = ['first', 'second'].map((id) => new platformServer.PlatformServer(id));
  for (const server of servers) {
    server.bodyOf = (requestId) => `body of ${server.id} for ${requestId}`;
    const entry = platformRecords.makeServerEntry(server.id, await server.listen(), { slots: 20 });
    store.put(`servers/${server.id}`, entry);
  }
  publish(1, 'first');
  const directoryUrl = await store.listen();
  const [callerPort, readinessPort, peerPort] = (await freePorts.freePorts(3)) as [
    number,
    number,
    number,
  ];
  ({ daemon, settings } = platformDaemon.makePlatformDaemon({
    ...{ callerPort, readinessPort, peerPort, directoryUrl },
  }));
  await daemon.start();
  await until(() => daemon.phase === 'ready');
  socket = net.connect({ port: callerPort, host: '127.0.0.1' });
  socket.setEncoding('latin1').on('data', (text: string) => {
    received += text;
  });
  await nodeEvents.once(socket, 'connect');
});

afterEach(async () => {
  socket.destroy();
  await daemon.stop();
  await Promise.all([store.close(), ...servers.map((server) => server.close())]);
});

// Guards against responses that are lost or out of order because the route moves meanwhile.
test('pipelined requests are answered in order while their route moves', async () => {
  const [first, second] = servers as [platformServer.PlatformServer, platformServer.PlatformServer];
  first.workMs = 300;
  sendNext(3);
  await until(() => first.runs.length === 3);
  publish(2, 'second');
  await until(() => {
    sendNext(1);
    return second.runs.length > 0;
  });
  await until(() => bodies().length === sent.length);
  expect(bodies()).toEqual(sent);
  expect(new Set(statuses())).toEqual(new Set(['200']));
});

test('pipelined requests are answered in order across a reload of the settings', async () => {
  const [first] = servers as [platformServer.PlatformServer];
  first.workMs = 300;
  sendNext(3);
  await until(() => first.runs.length === 3);
  daemon.reload({ ...settings, checksPerSecond: 300, retryAllowance: 100 });
  sendNext(3);
  await until(() => bodies().length === sent.length);
  expect(bodies()).toEqual(sent);
});

// Guards against requests that are lost behind one whose body arrives slowly.
test('a body that arrives slowly behind others delays only what comes after it', async () => {
  const post =
    `POST /x/id-2 HTTP/1.1\r\nHost: ${platformRecords.HOST}\r\nRequest-Id: id-2\r\n` +
    'Request-Deadline: 60000\r\nContent-Length: 6\r\n\r\nabc';
  socket.write(get('id-0') + get('id-1') + post);
  await until(() => bodies().length === 2);
  expect(bodies()).toEqual(['id-0', 'id-1']);
  socket.write(`def${get('id-3')}`);
  await until(() => bodies().length === 4);
  expect(bodies()).toEqual(['id-0', 'id-1', 'id-2', 'id-3']);
});
