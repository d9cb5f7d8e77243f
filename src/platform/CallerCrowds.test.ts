import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';

import * as undici from 'undici';

import * as deployFile from '../standin/DeployFile';
import * as freePorts from '../standin/FreePorts';
import * as callerCrowd from './testing/CallerCrowd';
import * as deployedDaemon from './testing/DeployedDaemon';
import * as platformRecords from './testing/PlatformRecords';
import * as platformServer from './testing/PlatformServer';
import * as platformStore from './testing/PlatformStore';

/** Limits of the daemon, below those of a deployment, so that a small crowd reaches them. */
const HEAP_MB = 64;
const MEMORY_MB = 200;
const MAX_DESCRIPTORS = 600;

/** How often a crowd comes, and how long it stays, in milliseconds. */
const WAVES = 3;
const STAY_MS = 3_000;

const LARGE_BODY = 'x'.repeat(200_000);
/** Slots of each server, so that no request is refused for want of one. */
const SLOTS = 1_000;

const SERVICES = ['x', 'slow', 'large'];

jest.setTimeout(180_000);

let programFolder: string;
let deploy: deployFile.DeployFile;
let folder: string;
let store: platformStore.PlatformStore;
let servers: readonly platformServer.PlatformServer[];
let daemon: deployedDaemon.DeployedDaemon;
let mostDescriptors: number;

beforeAll(async () => {
  programFolder = await fs.mkdtemp(path.join(os.tmpdir(), 'program-'));
  deploy = await (await deployFile.DeployFile.read()).buildIn(programFolder);
});

afterAll(() => fs.rm(programFolder, { recursive: true }));

beforeEach(async () => {
  mostDescriptors = 0;
  folder = await fs.mkdtemp(path.join(os.tmpdir(), 'crowds-'));
  store = new platformStore.PlatformStore();
  servers = SERVICES.map((name) => new platformServer.PlatformServer(`i-${name}`));
  const [, slow, large] = servers as platformServer.PlatformServer[];
  Object.assign(slow as object, { workMs: 2_000 });
  Object.assign(large as object, { bodyOf: () => LARGE_BODY });
  const addresses = await Promise.all(servers.map((server) => server.listen()));
  SERVICES.forEach((name, index) => {
    const entry = platformRecords.makeServerEntry(name, addresses[index] as string, {
      slots: SLOTS,
    });
    store.put(`servers/i-${name}`, entry);
  });
  const rules = SERVICES.map((name) => ({ prefix: `/${name}/`, service: name, timeout: '60s' }));
  store.put('op/config', platformRecords.makeConfiguration(1, rules));
  const [callerPort, readinessPort, peerPort] = (await freePorts.freePorts(3)) as number[];
  daemon = await deployedDaemon.DeployedDaemon.start(deploy, {
    ...{ name: 'daemon', folder, callerPort, readinessPort, peerPort, heapMb: HEAP_MB },
    storeAddress: (await store.listen()).replace('http://', ''),
    seedPorts: [peerPort as number],
    values: { 'limits.maxFds': `${MAX_DESCRIPTORS}`, 'limits.memoryMb': `${MEMORY_MB}` },
  } as deployedDaemon.IDeployedDaemonOptions);
  await daemon.waitUntilReady();
});

afterEach(async () => {
  await daemon.child.kill();
  await Promise.all([store.close(), ...servers.map((server) => server.close())]);
  await fs.rm(folder, { recursive: true });
});

async function sampleDescriptors(): Promise<void> {
  const names = await fs.readdir(`/proc/${daemon.child.processId}/fd`).catch(() => []);
  mostDescriptors = Math.max(mostDescriptors, names.length);
}

/** Lets a crowd of that many callers of each kind come and leave several times. */
async function playCrowd(counts: Partial<Record<callerCrowd.CrowdKind, number>>): Promise<void> {
  for (let wave = 0; wave < WAVES && daemon.child.isRunning; wave += 1) {
    const crowd = new callerCrowd.CallerCrowd(daemon.options.callerPort);
    const kinds = Object.entries(counts) as [callerCrowd.CrowdKind, number][];
    await Promise.all(kinds.map(([kind, count]) => crowd.add(kind, count)));
    await sampleDescriptors();
    await timers.setTimeout(STAY_MS);
    await sampleDescriptors();
    crowd.leave();
  }
}

/** Returns the highest memory of the daemon since its start, in megabytes. */
async function peakMemoryMb(): Promise<number> {
  const status = await fs.readFile(`/proc/${daemon.child.processId}/status`, 'utf8');
  return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]) / 1_024;
}

/** Sends a request that every daemon in calm answers, and returns the status of the response. */
async function statusOfOrdinary(): Promise<number> {
  const headers = { host: platformRecords.HOST, 'request-id': 'r', 'request-deadline': '50000' };
  const reply = await undici.request(`${daemon.callerUrl}/x/1`, { headers });
  await reply.body.dump();
  return reply.statusCode;
}

async function expectSound(): Promise<void> {
  expect(daemon.child.isRunning).toBe(true);
  const peakMb = await peakMemoryMb();
  expect(await statusOfOrdinary()).toBe(200);
  expect(peakMb).toBeLessThan(MEMORY_MB);
  expect(mostDescriptors).toBeLessThan(MAX_DESCRIPTORS);
}

// Guards against a process that holds thousands of requests for each caller that sends ahead.
test('requests sent ahead behind a slow one', async () => {
  await playCrowd({ ahead: 60 });
  await expectSound();
});

// Guards against refusals that are held for callers which do not read them.
test('requests without the usual headers, whose answers are not read', async () => {
  await playCrowd({ bare: 120 });
  await expectSound();
});

// Guards against answers that are held for callers which do not read them.
test('large answers that are not read', async () => {
  await playCrowd({ unread: 30 });
  await expectSound();
});

// Guards against connections that take all descriptors of the process.
test('very many connections, of which part leave early', async () => {
  await playCrowd({ silent: 1_200 });
  await expectSound();
});

// Guards against limits that each hold alone and are exceeded together.
test('all of them together', async () => {
  await playCrowd({ ahead: 30, bare: 30, unread: 30, silent: 600 });
  await expectSound();
});
