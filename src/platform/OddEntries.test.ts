import * as pause from '../standin/pause';
import * as platformRecords from './testing/PlatformRecords';
import * as singleServerRig from './testing/SingleServerRig';

const DEPTH = 100_000;

/** Time in which a change of the store is applied, in milliseconds. */
const SETTLE_MS = 300;

jest.setTimeout(30_000);

let rig: singleServerRig.SingleServerRig;

beforeEach(async () => {
  rig = await singleServerRig.SingleServerRig.make();
  rig.publish(1, ['/a/']);
});

afterEach(() => rig.stop());

/** Returns the text of an entry in which a field has a value that is given as JSON. */
function withField(field: string, json: string): string {
  const entry = platformRecords.makeServerEntry('reads', rig.address, { [field]: '@' });
  return JSON.stringify(entry).replace('"@"', json);
}

function nested(open: string, close: string): string {
  return `${open.repeat(DEPTH)}1${close.repeat(DEPTH)}`;
}

async function expectServed(path: string): Promise<void> {
  expect(new Set(await rig.statusesOnceServed(path))).toEqual(new Set([200]));
}

const ODD_ENTRIES: readonly (readonly [string, () => string])[] = [
  ['a port out of range', () => withField('address', '"127.0.0.1:70000"')],
  ['port 0', () => withField('address', '"127.0.0.1:0"')],
  ['an address out of range', () => withField('address', '"999.1.1.1:80"')],
  ['deeply nested arrays', () => nested('[', ']')],
  ['deeply nested objects', () => nested('{"a":', '}')],
  ['a deeply nested field', () => withField('zone', nested('[', ']'))],
  [
    'a deeply nested unknown field',
    () => withField('more', nested('{"a":', '}')).replace(rig.address, '127.0.0.1:1'),
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
  rig.store.put('servers/i-0', entryOf());
  await rig.daemon.start();
  await expectServed('/a/1');
  rig.store.put('servers/i-2', entryOf());
  rig.publish(2, ['/a/', '/b/']);
  await expectServed('/b/1');
});

/** A duration that is written with more digits than a number can have. */
const ENDLESS = `${'9'.repeat(400)}ms`;

const ODD_DURATIONS: readonly (readonly [string, string, string])[] = [
  ['an endless idle timeout', '"15s"', `"${ENDLESS}"`],
  ['an idle timeout of years', '"15s"', '"99999999s"'],
  ['an endless header timeout', '"3000ms"', `"${ENDLESS}"`],
  ['a header timeout of years', '"3000ms"', '"99999999s"'],
  ['an endless timeout of a route', '"1200ms"', `"${ENDLESS}"`],
  ['a timeout of a route of years', '"1200ms"', '"99999999s"'],
  ['an endless objective', '"400ms"', `"${ENDLESS}"`],
];

// Guards against a timeout that Node.js does not accept, and that ends daemons as it is applied.
test.each(ODD_DURATIONS)('a configuration with %s does no harm', async (_name, value, odd) => {
  await rig.daemon.start();
  await expectServed('/a/1');
  const rules = [{ prefix: '/a/', service: 'reads' }];
  const changed = JSON.stringify(platformRecords.makeConfiguration(2, rules)).replace(value, odd);
  rig.store.put('op/config', changed);
  await pause.pause(SETTLE_MS);
  await expectServed('/a/1');
});
