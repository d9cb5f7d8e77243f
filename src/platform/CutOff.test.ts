import * as net from 'node:net';

import * as undici from 'undici';

import * as routedDaemon from '../node/RoutedDaemon';
import * as freePorts from '../standin/FreePorts';
import * as tcpRelay from '../standin/TcpRelay';
import * as platformDaemon from './testing/PlatformDaemon';
import * as platformRecords from './testing/PlatformRecords';
import * as platformServer from './testing/PlatformServer';
import * as platformStore from './testing/PlatformStore';

const SERVERS = ['i-1', 'i-2', 'i-3'];

jest.setTimeout(60_000);

/** A daemon with a store of its own, so that it reaches the servers on a path of its own. */
interface ITestDaemon {
  readonly daemon: routedDaemon.RoutedDaemon;
  readonly store: platformStore.PlatformStore;
  readonly callerPort: number;
  readonly readinessPort: number;
}

let servers: platformServer.PlatformServer[];
let relays: tcpRelay.TcpRelay[];
let cut: ITestDaemon;
let other: ITestDaemon;

async function eventually(check: () => Promise<boolean>): Promise<void> {
  for (let tries = 0; tries < 2_000; tries += 1) {
    if (await check()) return;
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
  throw new Error('the expected state was not reached');
}

async function startDaemon(
  addresses: readonly string[],
  peerPort: number,
  seedPort: number,
): Promise<ITestDaemon> {
  const store = new platformStore.PlatformStore();
  SERVERS.forEach((id, index) =>
    store.put(
      `servers/${id}`,
      platformRecords.makeServerEntry('reads', addresses[index] as string),
    ),
  );
  const directoryUrl = await store.listen();
  const [callerPort, readinessPort] = (await freePorts.freePorts(2)) as [number, number];
  const { daemon } = platformDaemon.makePlatformDaemon({
    ...{ callerPort, readinessPort, peerPort, directoryUrl },
    seedPorts: [seedPort],
  });
  await daemon.start();
  const rules = [
    { prefix: '/x/', service: 'reads', timeout: '60s' },
    { prefix: '/y/', service: 'reads', kind: 'non_idempotent' as const, timeout: '60s' },
  ];
  store.put('op/config', platformRecords.makeConfiguration(1, rules));
  return { daemon, store, callerPort, readinessPort };
}

async function metric({ readinessPort }: ITestDaemon, name: string): Promise<number> {
  const page = await undici.request(`http://127.0.0.1:${readinessPort}/metrics`);
  const line = (await page.body.text()).split('\n').find((text) => text.startsWith(`${name} `));
  return Number(line?.split(' ')[1] ?? Number.NaN);
}

let requestCount = 0;

async function send(path: string, method: 'GET' | 'POST' = 'GET', deadlineMs = 20_000) {
  requestCount += 1;
  const id = `request-${requestCount}`;
  const response = await undici.request(`http://127.0.0.1:${cut.callerPort}${path}`, {
    method,
    headers: {
      host: platformRecords.HOST,
      'request-id': id,
      'request-deadline': `${deadlineMs}`,
    },
    body: method === 'POST' ? 'body' : null,
  });
  return { id, status: response.statusCode, body: await response.body.text() };
}

/** Sends requests until the daemon has noticed the cut and knows the other one. */
async function beOutOfReach(): Promise<void> {
  await eventually(async () => {
    const { status } = await send('/x/1', 'GET', 300);
    const lost = await metric(cut, 'lavenderspar_services_out_of_reach');
    return lost === 1 && status === 200;
  });
}

function runsOf(id: string): number {
  const all = servers.flatMap(({ runs }) => runs.filter((run) => run['request-id'] === id));
  return all.length;
}

beforeEach(async () => {
  servers = SERVERS.map((id) => new platformServer.PlatformServer(id));
  const direct = await Promise.all(servers.map((server) => server.listen()));
  relays = direct.map((address) => {
    const [host, port] = address.split(':') as [string, string];
    return new tcpRelay.TcpRelay(host, Number(port));
  });
  const relayed = await Promise.all(relays.map((relay) => relay.listen(0, '127.0.0.1')));
  const [first, second] = (await freePorts.freePorts(2)) as [number, number];
  cut = await startDaemon(
    relayed.map((port) => `127.0.0.1:${port}`),
    first,
    second,
  );
  other = await startDaemon(direct, second, first);
  await eventually(async () => (await send('/x/1')).status === 200);
});

afterEach(async () => {
  await Promise.all([cut, other].map(({ daemon }) => daemon.stop()));
  await Promise.all([cut, other].map(({ store }) => store.close()));
  await Promise.all(relays.map((relay) => relay.close()));
  await Promise.all(servers.map((server) => server.close()));
});

// Guards against callers who are not served because this daemon alone has lost its servers.
test.each(['silent', 'reset'] as const)(
  'while links to all servers are %s, a peer answers the requests',
  async (kind) => {
    relays.forEach((relay) => relay.cut('*', kind));
    await beOutOfReach();
    for (let count = 0; count < 10; count += 1) {
      const read = await send('/x/1');
      expect(read).toMatchObject({ status: 200 });
      const write = await send('/y/1', 'POST');
      expect(write).toMatchObject({ status: 200 });
      expect(runsOf(write.id)).toBe(1);
    }
    relays.forEach((relay) => relay.heal('*'));
    await eventually(async () => (await metric(cut, 'lavenderspar_services_out_of_reach')) === 0);
    expect((await send('/y/1', 'POST')).status).toBe(200);
  },
);

// Guards against servers that go on working for a caller who has left the other daemon.
test('a caller who leaves ends the request at the peer', async () => {
  relays.forEach((relay) => relay.cut('*', 'reset'));
  await beOutOfReach();
  servers.forEach((server) => Object.assign(server, { answer: 'mute' }));
  const before = servers.reduce((sum, { runs }) => sum + runs.length, 0);
  const socket = net.connect(cut.callerPort, '127.0.0.1');
  socket.write(`GET /x/1 HTTP/1.1\r\nhost: ${platformRecords.HOST}\r\nrequest-id: gone\r\n\r\n`);
  const countRuns = () => servers.reduce((sum, { runs }) => sum + runs.length, 0);
  await eventually(async () => countRuns() > before);
  socket.destroy();
  const countAbandoned = () => servers.reduce((sum, { abandoned }) => sum + abandoned, 0);
  await eventually(async () => countAbandoned() > 0);
});
