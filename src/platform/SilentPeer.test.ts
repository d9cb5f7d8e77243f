import * as fs from 'node:fs/promises';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';

import * as deployFile from '../standin/DeployFile';
import * as freePorts from '../standin/FreePorts';
import * as deployedDaemon from './testing/DeployedDaemon';
import * as platformRecords from './testing/PlatformRecords';
import * as platformStore from './testing/PlatformStore';

const GRACE_MS = 2_000;

/** Time for exchanges to begin, or a connection to be accepted, in milliseconds. */
const SETTLE_MS = 1_500;

jest.setTimeout(60_000);

let folder: string;
let deploy: deployFile.DeployFile;
let store: platformStore.PlatformStore;
let storeAddress: string;
let ports: readonly number[];
let daemons: deployedDaemon.DeployedDaemon[];

async function startDaemon(first: number, seed: number): Promise<deployedDaemon.DeployedDaemon> {
  const [callerPort, readinessPort, peerPort] = ports.slice(first) as [number, number, number];
  const daemon = await deployedDaemon.DeployedDaemon.start(deploy, {
    ...{ name: `daemon-${first}`, folder, callerPort, readinessPort, peerPort, storeAddress },
    seedPorts: [ports[seed] as number],
    values: { 'bounds.grace': `${GRACE_MS}ms` },
  });
  daemons.push(daemon);
  await daemon.waitUntilReady();
  return daemon;
}

async function stop(daemon: deployedDaemon.DeployedDaemon): Promise<number | undefined | 'late'> {
  daemon.child.signal('SIGTERM');
  return Promise.race([daemon.child.exited, timers.setTimeout(GRACE_MS, 'late' as const)]);
}

beforeAll(async () => {
  folder = await fs.mkdtemp(path.join(os.tmpdir(), 'silent-peer-'));
  deploy = await (await deployFile.DeployFile.read()).buildIn(path.join(folder, 'program'));
});

afterAll(() => fs.rm(folder, { recursive: true }));

beforeEach(async () => {
  daemons = [];
  ports = await freePorts.freePorts(6);
  store = new platformStore.PlatformStore();
  store.put('op/config', platformRecords.makeConfiguration(1, []));
  storeAddress = (await store.listen()).replace('http://', '');
});

afterEach(async () => {
  await Promise.all(daemons.map(({ child }) => child.kill()));
  await store.close();
});

// Guards against a process that is killed after its grace period because a connection stays open.
test('a daemon with a silent connection on its peer address ends within its grace period', async () => {
  const daemon = await startDaemon(0, 2);
  const socket = net.connect(ports[2] as number, '127.0.0.1');
  socket.on('error', () => undefined);
  await timers.setTimeout(SETTLE_MS);
  expect(await stop(daemon)).toBe(0);
  socket.destroy();
});

test('a daemon whose peer is paused ends within its grace period', async () => {
  const daemon = await startDaemon(0, 5);
  const paused = await startDaemon(3, 2);
  await timers.setTimeout(SETTLE_MS);
  paused.child.signal('SIGSTOP');
  expect(await stop(daemon)).toBe(0);
});
