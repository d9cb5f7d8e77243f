import * as net from 'node:net';

import * as undici from 'undici';

import type * as routedDaemon from '../node/RoutedDaemon';
import * as freePorts from '../standin/FreePorts';
import * as platformDaemon from './testing/PlatformDaemon';
import * as platformRecords from './testing/PlatformRecords';
import * as platformStore from './testing/PlatformStore';

const POLL_INTERVAL_MS = 20;
const WATCHED_MS = 1_000;

jest.setTimeout(30_000);

let store: platformStore.PlatformStore;
let holder: net.Server;
let daemon: routedDaemon.RoutedDaemon;
let started: Promise<void>;
let callerPort: number;
let readinessPort: number;

function isOpen(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = net.connect({ host: '127.0.0.1', port }, () => {
      socket.destroy();
      resolve(true);
    });
    socket.on('error', () => resolve(false));
  });
}

async function isReady(): Promise<boolean> {
  try {
    const reply = await undici.request(`http://127.0.0.1:${readinessPort}/v1/readyz`);
    await reply.body.dump();
    return reply.statusCode === 200;
  } catch {
    return false;
  }
}

async function pause(): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, POLL_INTERVAL_MS);
  });
}

beforeEach(async () => {
  store = new platformStore.PlatformStore();
  store.put('op/config', platformRecords.makeConfiguration(1, []));
  const directoryUrl = await store.listen();
  let peerPort: number;
  [callerPort, readinessPort, peerPort] = (await freePorts.freePorts(3)) as [
    number,
    number,
    number,
  ];
  holder = net.createServer();
  await new Promise<void>((resolve) => {
    holder.listen(peerPort, '127.0.0.1', resolve);
  });
  ({ daemon } = platformDaemon.makePlatformDaemon({
    ...{ callerPort, readinessPort, peerPort, directoryUrl },
  }));
  started = daemon.start();
});

afterEach(async () => {
  holder.close();
  await started;
  await daemon.stop();
  await store.close();
});

// Guards against callers that are sent to a daemon whose caller address is not open yet.
test('a daemon whose peer address is in use is not ready before callers can connect', async () => {
  const endMs = performance.now() + WATCHED_MS;
  while (performance.now() < endMs) {
    if (await isReady()) expect(await isOpen(callerPort)).toBe(true);
    await pause();
  }
  holder.close();
  await started;
  while (!(await isReady())) await pause();
  expect(await isOpen(callerPort)).toBe(true);
});
