import * as undici from 'undici';

import * as pause from '../standin/pause';
import * as platformRecords from './testing/PlatformRecords';
import * as platformServer from './testing/PlatformServer';
import * as singleServerRig from './testing/SingleServerRig';

/** Requests a second that the server takes while it is cold, and the factor on it in the settings. */
const COLD_RATE = 4;
const FACTOR = 2;

/** Time in which a change of the store is applied, in milliseconds. */
const SETTLE_MS = 300;

/** Time after which a daemon without seed peers knows that it is alone, in milliseconds. */
const ALONE_MS = 4_500;

/** Time in which a permit for the cold server is earned, in milliseconds. */
const PERMIT_MS = 1_000;

jest.setTimeout(60_000);

let rig: singleServerRig.SingleServerRig;

beforeEach(async () => {
  rig = await singleServerRig.SingleServerRig.make(FACTOR);
  rig.publish(1, ['/a/'], COLD_RATE);
  await rig.daemon.start();
  await rig.statusesOnceServed('/a/');
});

afterEach(() => rig.stop());

/** Sends requests one after the other, and returns their statuses. */
async function send(count: number): Promise<readonly number[]> {
  const statuses: number[] = [];
  while (statuses.length < count) statuses.push(await rig.statusOf('/a/'));
  return statuses;
}

function countServed(statuses: readonly number[]): number {
  return statuses.filter((status) => status === 200).length;
}

async function restraintsOf(): Promise<readonly unknown[]> {
  const reply = await undici.request(`${rig.readinessUrl}/servers`);
  return (await reply.body.json()) as readonly unknown[];
}

/** Lets the server state in checks that it is cold, until a check has told the daemon. */
async function becomeCold(): Promise<void> {
  rig.server.checkSignals = { [platformServer.WARMUP_REMAINING]: '60s' };
  // A reply from right before counts for a few milliseconds, in which the server is not checked.
  for (let tries = 0; tries < 100 && (await restraintsOf()).length === 0; tries += 1) {
    await send(1);
  }
}

// Guards against a header that is not read, or that does not reach the choice of servers.
test('a server that says in a check that it is cold gets few requests', async () => {
  await pause.pause(ALONE_MS);
  rig.server.checkSignals = { [platformServer.WARMUP_REMAINING]: '60000' };
  const first = await send(100);
  // Two requests a second may pass, so that one does in this time however fast the others are refused.
  await pause.pause(PERMIT_MS);
  const served = countServed([...first, ...(await send(100))]);
  expect(served).toBeGreaterThanOrEqual(1);
  expect(served).toBeLessThan(100);
  expect(await restraintsOf()).toMatchObject([{ restraint: 'cold', source: 'check' }]);
  // The server is asked again as soon as there is a permit.
  rig.server.checkSignals = { [platformServer.WARMUP_REMAINING]: '0ms' };
  expect(await rig.statusesOnceServed('/a/')).toEqual(Array.from({ length: 10 }, () => 200));
});

// Guards against an entry that tells of coldness while checks do not, and has no effect.
test('a server of which the directory says that it is cold gets few requests', async () => {
  await pause.pause(ALONE_MS);
  const changes = { warmupLeft: '60s', seq: 2 };
  const entry = platformRecords.makeServerEntry('reads', rig.address, changes);
  rig.store.put('servers/i-1', entry);
  await pause.pause(SETTLE_MS);
  expect(countServed(await send(200))).toBeLessThan(100);
  expect(await restraintsOf()).toMatchObject([{ restraint: 'cold', source: 'directory' }]);
});

// Guards against an entry that cannot be used and makes a cold server count as warm.
test('a server stays cold while its entry cannot be used', async () => {
  await becomeCold();
  const entry = platformRecords.makeServerEntry('reads', rig.address, { warmupLeft: 'soon' });
  rig.store.put('servers/i-1', entry);
  await pause.pause(SETTLE_MS);
  rig.store.put(
    'servers/i-1',
    platformRecords.makeServerEntry('reads', rig.address, { warmupLeft: '0ms', seq: 3 }),
  );
  await pause.pause(SETTLE_MS);
  expect(await restraintsOf()).toMatchObject([{ restraint: 'cold', source: 'check' }]);
});

// Guards against refusals after which callers do not know when to come back.
test('a caller who is refused because the server is cold is told when to return', async () => {
  await becomeCold();
  const reply = await rig.request('/a/');
  await reply.body.dump();
  expect(reply.statusCode).toBe(503);
  const seconds = Number(reply.headers['retry-after']);
  // A budget of two requests a second: half of the bound, of which a half is saved.
  expect(seconds).toBeGreaterThanOrEqual(0.5);
  expect(seconds).toBeLessThanOrEqual(1.001);
});

// Guards against a configuration that cannot be used and lifts the bound.
test('a configuration with a rate below zero leaves the last one in force', async () => {
  await becomeCold();
  rig.publish(2, ['/a/', '/b/'], -1);
  await pause.pause(SETTLE_MS);
  expect(await rig.statusOf('/b/')).toBe(404);
  expect(await rig.statusOf('/a/')).toBe(503);
  expect(await restraintsOf()).toMatchObject([{ restraint: 'cold' }]);
});
