import * as undici from 'undici';

import * as freePorts from '../standin/FreePorts';
import type * as routedDaemon from '../node/RoutedDaemon';
import * as platformDaemon from './testing/PlatformDaemon';
import * as platformRecords from './testing/PlatformRecords';
import * as platformServer from './testing/PlatformServer';
import * as platformStore from './testing/PlatformStore';

jest.setTimeout(30_000);

let store: platformStore.PlatformStore;
let server: platformServer.PlatformServer;
let daemon: routedDaemon.RoutedDaemon;
let callerPort: number;

function publish(version: number, prefixes: readonly string[]): void {
  const rules = prefixes.map((prefix) => ({ prefix, service: 'reads' }));
  store.put('op/config', platformRecords.makeConfiguration(version, rules));
}

beforeEach(async () => {
  store = new platformStore.PlatformStore();
  server = new platformServer.PlatformServer('i-1');
  const address = await server.listen();
  store.put('servers/i-1', platformRecords.makeServerEntry('reads', address));
  publish(1, ['/a/']);
  let readinessPort: number;
  let peerPort: number;
  [callerPort, readinessPort, peerPort] = (await freePorts.freePorts(3)) as [
    number,
    number,
    number,
  ];
  ({ daemon } = platformDaemon.makePlatformDaemon({
    ...{ callerPort, readinessPort, peerPort, directoryUrl: await store.listen() },
    checksPerSecond: 60,
  }));
  await daemon.start();
});

afterEach(async () => {
  await daemon.stop();
  await Promise.all([store.close(), server.close()]);
});

async function statusOf(path: string): Promise<number> {
  const reply = await undici.request(`http://127.0.0.1:${callerPort}${path}`, {
    headers: { host: platformRecords.HOST, 'request-id': 'r', 'request-deadline': '1000' },
  });
  await reply.body.dump();
  return reply.statusCode;
}

async function eventuallyServes(path: string): Promise<void> {
  for (let tries = 0; tries < 500 && (await statusOf(path)) !== 200; tries += 1) {
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
  expect(await statusOf(path)).toBe(200);
}

// Guards against a change that was confirmed after the restore, under a revision that is known from
// before it, and is never in force.
test.each([0, 1, 3])(
  'a route that is added after the store was restored is served (%i changes lost)',
  async (lost) => {
    await eventuallyServes('/a/1');
    const copy = store.copy();
    for (let change = 0; change < lost; change += 1) publish(2 + change, ['/a/', '/b/']);
    if (lost > 0) await eventuallyServes('/b/1');
    store.restore(copy);
    publish(10, ['/a/', '/b/', '/c/']);
    await eventuallyServes('/c/1');
  },
);

// Guards against callers who lose a route because the store came back with an older configuration.
test('the newest configuration stays in force while the store has an older one', async () => {
  await eventuallyServes('/a/1');
  const copy = store.copy();
  publish(2, ['/a/', '/b/']);
  await eventuallyServes('/b/1');
  store.restore(copy);
  store.put('servers/i-9', platformRecords.makeServerEntry('reads', '127.0.0.1:1'));
  for (let tries = 0; tries < 20; tries += 1) {
    expect(await statusOf('/b/1')).toBe(200);
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
  }
  publish(2, ['/a/', '/b/']);
  expect(await statusOf('/b/1')).toBe(200);
});
