import * as nodeAssert from 'node:assert/strict';
import * as fs from 'node:fs/promises';
import * as nodeEvents from 'node:events';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';

import * as undici from 'undici';

import * as deployFile from '../standin/DeployFile';
import * as freePorts from '../standin/FreePorts';
import * as deployedDaemon from './testing/DeployedDaemon';
import * as platformRecords from './testing/PlatformRecords';
import * as platformServer from './testing/PlatformServer';
import * as platformStore from './testing/PlatformStore';

const SOUND = { prefix: '/x/', service: 'reads' };
const FAULTY = { prefix: '/y/', service: 'faulty', timeout: '10s', maxAttempts: 1 };

const DEADLINE_MS = 10_000;

/** Ports below those that Linux gives to outgoing connections. */
const FIRST_HELD_PORT = 12_000;
const HELD_PORTS = 20_000;

const FAULTY_IDS = ['i-2', 'i-3', 'i-4', 'i-5'];

/** Number of answers without end at the same time. */
const MANY = 40;

/** `limits.memoryMb` of a VM. */
const MEMORY_MB = 350;

const SAMPLE_INTERVAL_MS = 5;

const SEND_INTERVAL_MS = 200;

const LARGE_CHUNK = Buffer.from(`10000\r\n${'x'.repeat(65_536)}\r\n`);

/** Chunks of one byte. */
const SMALL_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(16_384));

jest.setTimeout(60_000);

let programFolder: string;
let deploy: deployFile.DeployFile;
let folder: string;
let store: platformStore.PlatformStore;
let sound: platformServer.PlatformServer;
let faulty: readonly net.Server[];
let storeAddress: string;
let daemon: deployedDaemon.DeployedDaemon;

/** Response of the faulty server to a request. */
let respond: (socket: net.Socket, requestId: string) => void;

function portOf(server: net.Server): number {
  return (server.address() as net.AddressInfo).port;
}

function serveFaulty(id: string, socket: net.Socket): void {
  socket.on('error', () => undefined);
  socket.on('data', (bytes) => {
    const text = bytes.toString('latin1');
    if (text.startsWith('GET /health')) {
      socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`);
    } else respond(socket, /^request-id: (.*)\r$/im.exec(text)?.[1] ?? '');
  });
}

function respondWithoutEnd(chunks: Buffer): void {
  respond = (socket, requestId) => {
    const headers = `Request-Id: ${requestId}\r\nResponse-Signature: s\r\n`;
    socket.write(`HTTP/1.1 200 OK\r\n${headers}Transfer-Encoding: chunked\r\n\r\n`);
    const writeMore = () => {
      while (!socket.destroyed && socket.write(chunks));
    };
    socket.on('drain', writeMore);
    writeMore();
  };
}

/** Returns the memory of the daemon without the pages of its files, in megabytes. */
async function anonymousMemoryMb(): Promise<number> {
  const status = await fs.readFile(`/proc/${daemon.child.processId}/status`, 'utf8');
  return Number(/^RssAnon:\s+(\d+) kB$/m.exec(status)?.[1]) / 1_024;
}

/** Returns the highest memory of the daemon until `done` resolves, in megabytes. */
async function peakMemoryMb(done: Promise<unknown>): Promise<number> {
  let isDone = false;
  const end = done.finally(() => {
    isDone = true;
  });
  let peak = 0;
  while (!isDone) {
    peak = Math.max(peak, await anonymousMemoryMb());
    await timers.setTimeout(SAMPLE_INTERVAL_MS);
  }
  await end;
  return peak;
}

async function send(requestPath: string): Promise<number> {
  const reply = await undici.request(`${daemon.callerUrl}${requestPath}`, {
    headers: {
      host: platformRecords.HOST,
      'request-id': requestPath,
      'request-deadline': `${DEADLINE_MS}`,
    },
  });
  await reply.body.dump();
  return reply.statusCode;
}

function startDaemon(
  ports: readonly number[],
  nodeParameters: readonly string[] = [],
): Promise<deployedDaemon.DeployedDaemon> {
  const [callerPort, readinessPort, peerPort] = ports as [number, number, number];
  return deployedDaemon.DeployedDaemon.start(deploy, {
    ...{ name: 'daemon', folder, callerPort, readinessPort, peerPort, storeAddress },
    seedPorts: [peerPort],
    nodeParameters,
  });
}

beforeAll(async () => {
  programFolder = await fs.mkdtemp(path.join(os.tmpdir(), 'program-'));
  deploy = await (await deployFile.DeployFile.read()).buildIn(programFolder);
});

afterAll(() => fs.rm(programFolder, { recursive: true }));

beforeEach(async () => {
  folder = await fs.mkdtemp(path.join(os.tmpdir(), 'deployed-'));
  store = new platformStore.PlatformStore();
  sound = new platformServer.PlatformServer('i-1');
  faulty = FAULTY_IDS.map((id) => net.createServer((socket) => serveFaulty(id, socket)));
  await Promise.all(
    faulty.map((server) => nodeEvents.once(server.listen(0, '127.0.0.1'), 'listening')),
  );
  store.put('servers/i-1', platformRecords.makeServerEntry('reads', await sound.listen()));
  FAULTY_IDS.forEach((id, index) => {
    const address = `127.0.0.1:${portOf(faulty[index] as net.Server)}`;
    store.put(`servers/${id}`, platformRecords.makeServerEntry('faulty', address, { slots: MANY }));
  });
  store.put('op/config', platformRecords.makeConfiguration(1, [SOUND, FAULTY]));
  storeAddress = (await store.listen()).replace('http://', '');
  daemon = await startDaemon(await freePorts.freePorts(3));
  await daemon.waitUntilReady();
});

afterEach(async () => {
  await daemon.child.kill();
  await Promise.all([store.close(), sound.close()]);
  await Promise.all(faulty.map((server) => nodeEvents.once(server.close(), 'close')));
  await fs.rm(folder, { recursive: true });
});

// Guards against a daemon that runs out of memory by an object for each chunk of an answer.
test('answers in chunks of one byte without end do not end the program', async () => {
  respondWithoutEnd(SMALL_CHUNKS);
  const statuses = await Promise.all([1, 2, 3, 4].map((number) => send(`/y/${number}`)));
  expect(statuses).toEqual([502, 502, 502, 502]);
  expect(await send('/x/1')).toBe(200);
  expect(daemon.child.isRunning).toBe(true);
});

// Guards against a daemon that holds many answers without end until it is over its memory.
test('many answers without end at once stay within the memory of a VM', async () => {
  respondWithoutEnd(LARGE_CHUNK);
  const numbers = Array.from({ length: MANY }, (_, number) => number);
  const sent = Promise.all(numbers.map((number) => send(`/y/${number}`)));
  expect(await peakMemoryMb(sent)).toBeLessThan(MEMORY_MB);
  expect(await send('/x/1')).toBe(200);
});

// Guards against a program that stands still while Node.js parses the bundle for the message of a
// failed assertion.
test('the bundle makes no message of an assertion from its source', async () => {
  const bundle = await fs.readFile(path.join(deploy.folder, 'target/edge.js'), 'utf8');
  expect(/require\("(node:)?assert"\)/.test(bundle)).toBe(false);
  const file = path.join(deploy.folder, 'deploy/assert.js');
  const assert = (await import(file)) as unknown as typeof nodeAssert;
  const checks = [assert, assert.ok, assert.strict];
  checks.forEach((check) =>
    expect(() => check(false)).toThrow(expect.objectContaining({ generatedMessage: false })),
  );
  expect(() => assert.strictEqual(1, 2)).toThrow(nodeAssert.AssertionError);
});

test('an answer with an invalid status is a failure of its server only', async () => {
  respond = (socket, requestId) =>
    socket.end(`HTTP/1.1 000 OK\r\nRequest-Id: ${requestId}\r\nContent-Length: 0\r\n\r\n`);
  expect(await send('/y/1')).toBe(502);
  expect(await send('/x/1')).toBe(200);
});

/** Listens on a port outside of the range from which other processes get theirs. */
async function holdPort(): Promise<net.Server> {
  const holder = net.createServer();
  for (;;) {
    const port = FIRST_HELD_PORT + Math.floor(Math.random() * HELD_PORTS);
    try {
      await nodeEvents.once(holder.listen(port, '127.0.0.1'), 'listening');
      return holder;
    } catch {
      // Another process has this port, so the next one is tried.
    }
  }
}

// Guards against a program that ends at its start because another process has its port, as an
// outgoing connection or the previous process may.
test.each([0, 1, 2])('a port that is in use for a moment delays the start: %i', async (index) => {
  await daemon.child.kill();
  const holder = await holdPort();
  const ports = [...(await freePorts.freePorts(3))];
  ports[index] = portOf(holder);
  daemon = await startDaemon(ports);
  await daemon.child.firstLine;
  holder.close();
  await daemon.waitUntilReady();
});

/** Sends a request, and returns whether it was accepted and got no answer. */
async function isCutOff(): Promise<boolean> {
  try {
    await send('/y/1');
    return false;
  } catch (error) {
    return (error as NodeJS.ErrnoException).code !== 'ECONNREFUSED';
  }
}

/** Sends requests until the daemon ends. Returns how many were accepted and got no answer. */
async function countCutOff(): Promise<number> {
  const sent: Promise<boolean>[] = [];
  while (daemon.child.isRunning) {
    sent.push(isCutOff());
    await timers.setTimeout(SEND_INTERVAL_MS);
  }
  return (await Promise.all(sent)).filter((isCut) => isCut).length;
}

// Guards against a daemon that serves callers before it has its address for peers, and ends without it.
test('a peer address that stays in use cuts off no request', async () => {
  await daemon.child.kill();
  const holder = await holdPort();
  respond = () => undefined;
  const [callerPort, readinessPort] = (await freePorts.freePorts(2)) as [number, number];
  daemon = await startDaemon([callerPort, readinessPort, portOf(holder)]);
  try {
    expect(await countCutOff()).toBe(0);
    expect(await daemon.child.exited).toBe(3);
  } finally {
    holder.close();
  }
});

/** Scripts that run before the program and send it a SIGHUP during its start. */
const PRELOADED = {
  'while the bundle is loaded': `
    const fs = require('node:fs');
    const read = fs.readFileSync;
    fs.readFileSync = (file, ...parameters) => {
      if (file.endsWith('edge.js')) process.kill(process.pid, 'SIGHUP');
      return read(file, ...parameters);
    };`,
  'while the settings are read': `setImmediate(() => process.kill(process.pid, 'SIGHUP'));`,
};

// Guards against a program that a change of its settings ends during the start.
test.each(Object.entries(PRELOADED))('a SIGHUP does not end the program: %s', async (_, script) => {
  await daemon.child.kill();
  const file = path.join(folder, 'preloaded.js');
  await fs.writeFile(file, script);
  daemon = await startDaemon(await freePorts.freePorts(3), ['--require', file]);
  await daemon.waitUntilReady();
  expect(await send('/x/1')).toBe(200);
});

// Guards against an event of a connection that has no listener, and ends the program.
test('connections that ask for a tunnel and are reset do not end the program', async () => {
  const { callerPort: port } = daemon.options;
  for (let count = 0; count < 40; count += 1) {
    const socket = net.connect({ host: '127.0.0.1', port });
    socket.on('error', () => undefined);
    await nodeEvents.once(socket, 'connect');
    socket.write(`CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n`);
    if (count % 2 === 0) await nodeEvents.once(socket, 'data');
    socket.resetAndDestroy();
  }
  expect(await send('/x/1')).toBe(200);
  expect(daemon.child.isRunning).toBe(true);
});
