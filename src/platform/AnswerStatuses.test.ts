import * as nodeEvents from 'node:events';
import * as net from 'node:net';

import * as undici from 'undici';

import * as freePorts from '../standin/FreePorts';
import * as platformDaemon from './testing/PlatformDaemon';
import * as platformRecords from './testing/PlatformRecords';
import * as platformServer from './testing/PlatformServer';
import * as platformStore from './testing/PlatformStore';

const RULES = [
  { prefix: '/both/', service: 'both', timeout: '8s' },
  { prefix: '/reads/', service: 'faulty', timeout: '8s' },
  { prefix: '/writes/', service: 'faulty', kind: 'non_idempotent', timeout: '8s' },
];

const HEADERS = 'Request-Id: a\r\nResponse-Signature: s\r\nServer-Load: 0,0,3,100\r\n';

/** Answers with a status in place of `#`. */
const ANSWERS: readonly [string, string, boolean][] = [
  ['no body', `HTTP/1.1 # S\r\n${HEADERS}Content-Length: 0\r\n\r\n`, false],
  ['a body', `HTTP/1.1 # S\r\n${HEADERS}Content-Length: 2\r\n\r\nok`, false],
  ['a body up to the close', `HTTP/1.1 # S\r\n${HEADERS}\r\nok`, true],
  ['103 before it', `HTTP/1.1 103 E\r\n\r\nHTTP/1.1 # S\r\n${HEADERS}\r\nok`, true],
  ['not run', `HTTP/1.1 # S\r\n${HEADERS}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`, false],
];

const STATUSES = ['000', '099', '600', '999', '2', '20', '2000'];

const CASES = STATUSES.flatMap((status) =>
  ANSWERS.map(([name, text, closes]) => [status, name, text, closes] as const),
);

const CHECK_REPLY = 'HTTP/1.1 200 OK\r\nServer-Load: 0,0,3,100\r\nContent-Length: 0\r\n\r\n';

jest.setTimeout(60_000);

let store: platformStore.PlatformStore;
let sound: platformServer.PlatformServer;
let faulty: readonly net.Server[];
let answer: string;
let checkReply: string;
let closes: boolean;
/** Paths of the requests that reached the faulty server, and the connections of each. */
let received: { readonly path: string; readonly socket: net.Socket }[];
/** Calls of the service with two servers that reached the faulty one. */
let faultyCalls = 0;
let daemon: platformDaemon.IPlatformDaemon['daemon'];
let callerPort: number;

async function send(method: 'GET' | 'POST', path: string): Promise<number> {
  const reply = await undici.request(`http://127.0.0.1:${callerPort}${path}`, {
    method,
    headers: { host: platformRecords.HOST, 'request-id': 'a', 'request-deadline': '8000' },
  });
  await reply.body.dump();
  return reply.statusCode;
}

function respond(socket: net.Socket, data: Buffer): void {
  const path = data.toString('latin1').split(' ')[1] ?? '';
  if (path === '/health') {
    socket.write(checkReply);
    return;
  }
  received.push({ path, socket });
  if (closes) socket.end(answer);
  else socket.write(answer);
}

function makeFaulty(): net.Server {
  return net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (data) => respond(socket, data));
  });
}

async function listen(server: net.Server): Promise<string> {
  await nodeEvents.once(server.listen(0, '127.0.0.1'), 'listening');
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

beforeAll(async () => {
  store = new platformStore.PlatformStore();
  sound = new platformServer.PlatformServer('i-1');
  faulty = [makeFaulty(), makeFaulty()];
  const addresses = await Promise.all(faulty.map(listen));
  store.put('servers/i-1', platformRecords.makeServerEntry('both', await sound.listen()));
  store.put('servers/i-2', platformRecords.makeServerEntry('faulty', addresses[0] as string));
  store.put('servers/i-3', platformRecords.makeServerEntry('both', addresses[1] as string));
  store.put('op/config', platformRecords.makeConfiguration(1, RULES));
  const ports = (await freePorts.freePorts(3)) as [number, number, number];
  const [, readinessPort, peerPort] = ports;
  [callerPort] = ports;
  const directoryUrl = await store.listen();
  ({ daemon } = platformDaemon.makePlatformDaemon({
    ...{ callerPort, readinessPort, peerPort, directoryUrl },
  }));
  await daemon.start();
});

beforeEach(async () => {
  received = [];
  checkReply = CHECK_REPLY;
  answer = `HTTP/1.1 200 S\r\n${HEADERS}Content-Length: 0\r\n\r\n`;
  closes = false;
  for (let tries = 0; tries < 100 && (await send('GET', '/reads/0')) !== 200; tries += 1) {
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
  // The retries of a service are a share of its calls, so that it needs some before the first.
  for (let count = 0; count < 20; count += 1) await send('GET', '/both/0');
  received = [];
});

afterAll(async () => {
  await daemon.stop();
  await Promise.all([store.close(), sound.close()]);
  await Promise.all(faulty.map((server) => nodeEvents.once(server.close(), 'close')));
});

// Guards against a caller that gets the answer of a server in trouble, and against a request that runs
// twice although it must not.
test.each(CASES)('status "%s", %s: callers get 502', async (status, _name, text, ends) => {
  answer = text.replace('#', status);
  closes = ends;
  expect(await send('POST', '/writes/1')).toBe(502);
  expect(received.map(({ path }) => path)).toEqual(['/writes/1']);
  expect(await send('GET', '/reads/1')).toBe(502);
  const sockets = received.map(({ socket }) => socket);
  expect(new Set(sockets).size).toBe(sockets.length);
});

async function statusesOf(path: string): Promise<ReadonlySet<number>> {
  const statuses = new Set<number>();
  for (let count = 0; count < 20; count += 1) statuses.add(await send('GET', path));
  return statuses;
}

function requestsTo(path: string): number {
  return received.filter((request) => request.path === path).length;
}

// Guards against a call that fails although another server would have run it.
test.each(CASES)('status "%s", %s: another server answers', async (status, _name, text, ends) => {
  answer = text.replace('#', status);
  closes = ends;
  expect([...(await statusesOf('/both/1'))]).toEqual([200]);
  faultyCalls += requestsTo('/both/1');
});

test('some of the calls that another server answered had reached the faulty one', () => {
  expect(faultyCalls).toBeGreaterThan(0);
});

// Guards against a server that is preferred because of what it replies to checks in its trouble.
test.each(STATUSES)('a server whose checks have status "%s" gets no calls', async (status) => {
  answer = `HTTP/1.1 ${status} S\r\n${HEADERS}Content-Length: 0\r\n\r\n`;
  checkReply = CHECK_REPLY.replace('200', status);
  expect([...(await statusesOf('/both/2'))]).toEqual([200]);
  expect(requestsTo('/both/2')).toBe(0);
});
