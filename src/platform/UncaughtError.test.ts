import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';

import * as undici from 'undici';

import * as deployFile from '../standin/DeployFile';
import * as freePorts from '../standin/FreePorts';
import * as deployedDaemon from './testing/DeployedDaemon';
import * as platformRecords from './testing/PlatformRecords';
import * as platformServer from './testing/PlatformServer';
import * as platformStore from './testing/PlatformStore';

const READS = { prefix: '/x/', service: 'reads', timeout: '10s' };
const ORDERS = { prefix: '/y/', service: 'orders', kind: 'non_idempotent', timeout: '10s' };

const DEADLINE_MS = 10_000;
const WORK_MS = 1_000;

/** Throws in a timer for each SIGUSR2. */
const FAULT = `process.on('SIGUSR2', () => setTimeout(() => { throw new Error('injected'); }));`;

jest.setTimeout(60_000);

let folder: string;
let store: platformStore.PlatformStore;
let servers: readonly platformServer.PlatformServer[];
let daemon: deployedDaemon.DeployedDaemon;

async function send(method: 'GET' | 'POST', requestPath: string): Promise<number> {
  const reply = await undici.request(`${daemon.callerUrl}${requestPath}`, {
    method,
    headers: {
      host: platformRecords.HOST,
      'request-id': requestPath,
      'request-deadline': `${DEADLINE_MS}`,
    },
  });
  await reply.body.dump();
  return reply.statusCode;
}

function countEvents(event: string): number {
  return daemon.child.lines.filter((line) => line.includes(`"event":"${event}"`)).length;
}

async function startDaemon(): Promise<void> {
  const program = await (await deployFile.DeployFile.read()).buildIn(path.join(folder, 'program'));
  const fault = path.join(folder, 'fault.js');
  await fs.writeFile(fault, FAULT);
  const [callerPort, readinessPort, peerPort] = (await freePorts.freePorts(3)) as [
    number,
    number,
    number,
  ];
  const storeAddress = (await store.listen()).replace('http://', '');
  daemon = await deployedDaemon.DeployedDaemon.start(program, {
    ...{ name: 'daemon', folder, callerPort, readinessPort, peerPort, storeAddress },
    seedPorts: [peerPort],
    nodeParameters: ['--require', fault],
  });
  await daemon.waitUntilReady();
}

beforeAll(async () => {
  folder = await fs.mkdtemp(path.join(os.tmpdir(), 'uncaught-'));
  store = new platformStore.PlatformStore();
  servers = [new platformServer.PlatformServer('i-1'), new platformServer.PlatformServer('i-2')];
  for (const [index, { service }] of [READS, ORDERS].entries()) {
    const server = servers[index] as platformServer.PlatformServer;
    server.workMs = WORK_MS;
    const entry = platformRecords.makeServerEntry(service, await server.listen());
    store.put(`servers/${server.id}`, entry);
  }
  store.put('op/config', platformRecords.makeConfiguration(1, [READS, ORDERS]));
  await startDaemon();
});

afterAll(async () => {
  await daemon.child.kill();
  await Promise.all([store.close(), ...servers.map((server) => server.close())]);
  await fs.rm(folder, { recursive: true });
});

// Guards against an error in one callback that ends the requests of all callers.
test('requests in progress are answered after an error that nothing caught', async () => {
  let arrived = 0;
  const haveArrived = new Promise<void>((resolve) => {
    servers.forEach((server) => {
      const target = server;
      target.onRun = () => {
        arrived += 1;
        if (arrived === servers.length) resolve();
      };
    });
  });
  const statuses = Promise.all([send('GET', '/x/1'), send('POST', '/y/1')]);
  await haveArrived;
  daemon.child.signal('SIGUSR2');
  expect(await statuses).toEqual([200, 200]);
  daemon.child.signal('SIGUSR2');
  expect(await daemon.child.exited).toBe(1);
  expect(countEvents('process.uncaught_error')).toBe(2);
  expect(countEvents('process.ended')).toBe(1);
});
