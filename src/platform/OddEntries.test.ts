import * as undici from 'undici';

import type * as routedDaemon from '../node/RoutedDaemon';
import * as freePorts from '../standin/FreePorts';
import * as platformDaemon from './testing/PlatformDaemon';
import * as platformRecords from './testing/PlatformRecords';
import * as platformServer from './testing/PlatformServer';
import * as platformStore from './testing/PlatformStore';

const DEPTH = 100_000;

jest.setTimeout(30_000);

let store: platformStore.PlatformStore;
let server: platformServer.PlatformServer;
let address: string;
let daemon: routedDaemon.RoutedDaemon;
let callerPort: number;

function publish(version: number, prefixes: readonly string[]): void {
  const rules = prefixes.map((prefix) => ({ prefix, service: 'reads' }));
  store.put('op/config', platformRecords.makeConfiguration(version, rules));
}

/** Returns the text of an entry in which a field has a value that is given as JSON. */
function withField(field: string, json: string): string {
  const entry = platformRecords.makeServerEntry('reads', address, { [field]: '@' });
  return JSON.stringify(entry).replace('"@"', json);
}

function nested(open: string, close: string): string {
  return `${open.repeat(DEPTH)}1${close.repeat(DEPTH)}`;
}

async function statusOf(path: string): Promise<number> {
  const reply = await undici.request(`http://127.0.0.1:${callerPort}${path}`, {
    headers: { host: platformRecords.HOST, 'request-id': 'r', 'request-deadline': '1000' },
  });
  await reply.body.dump();
  return reply.statusCode;
}

async function eventuallyServes(path: string): Promise<void> {
  for (let tries = 0; tries < 300 && (await statusOf(path)) !== 200; tries += 1) {
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
  for (let count = 0; count < 10; count += 1) expect(await statusOf(path)).toBe(200);
}

beforeEach(async () => {
  store = new platformStore.PlatformStore();
  server = new platformServer.PlatformServer('i-1');
  address = await server.listen();
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
  }));
});

afterEach(async () => {
  await daemon.stop();
  await Promise.all([store.close(), server.close()]);
});

const ODD_ENTRIES: readonly (readonly [string, () => string])[] = [
  ['a port out of range', () => withField('address', '"127.0.0.1:70000"')],
  ['port 0', () => withField('address', '"127.0.0.1:0"')],
  ['an address out of range', () => withField('address', '"999.1.1.1:80"')],
  ['deeply nested arrays', () => nested('[', ']')],
  ['deeply nested objects', () => nested('{"a":', '}')],
  ['a deeply nested field', () => withField('zone', nested('[', ']'))],
  [
    'a deeply nested unknown field',
    () => withField('more', nested('{"a":', '}')).replace(address, '127.0.0.1:1'),
  ],
  ['slots too large', () => withField('slots', '9007199254740991')],
  ['slots beyond all numbers', () => withField('slots', '1e400')],
  ['a start time too large', () => withField('born', '1e300')],
  ['a fractional start time', () => withField('born', '1700000000000.5')],
  ['a negative start time', () => withField('born', '-1')],
  ['a count too large', () => withField('seq', '1e300')],
];

// Guards against an entry of another writer that ends daemons, or stops them from following changes.
test.each(ODD_ENTRIES)('an entry with %s leaves the others in use', async (_name, entryOf) => {
  store.put('servers/i-0', entryOf());
  await daemon.start();
  await eventuallyServes('/a/1');
  store.put('servers/i-2', entryOf());
  publish(2, ['/a/', '/b/']);
  await eventuallyServes('/b/1');
});
