import type * as faultFleet from './FaultFleet';
import * as harness from './Harness';
import * as load from './Load';

const tests = new harness.Harness();

beforeAll(() => tests.open(), 30_000);
afterEach(() => tests.closeFleets());
afterAll(() => tests.close());

/** Time limit for a new version to become active at all daemons, in milliseconds. */
const ACTIVE_LIMIT_MS = 10_000;

async function waitUntilActiveEverywhere(
  fleet: faultFleet.FaultFleet,
  version: number,
): Promise<void> {
  await load.eventually(
    `version ${version} is active everywhere`,
    async () => {
      const versions = await Promise.all(fleet.daemons.map((daemon) => daemon.tableVersion()));
      return versions.every((active) => active === version);
    },
    ACTIVE_LIMIT_MS,
  );
}

// Guards against daemons that keep an old table because the platform is stale or down for them.
test('a new version reaches daemons for which the platform is stale or down', async () => {
  const fleet = await tests.start({ daemons: 3, seed: 9, services: [harness.readsService(2)] });
  fleet.platform.setMode('stale', [fleet.network.address(1)]);
  fleet.platform.setMode('down', [fleet.network.address(2)]);
  fleet.publishTable(2);
  await waitUntilActiveEverywhere(fleet, 2);
}, 30_000);

// Guards against a return to an older version that is published again, read by a new process from
// a stale platform, or offered by a peer that was partitioned or paused.
test('the active version never goes back', async () => {
  const fleet = await tests.start({ daemons: 3, seed: 10, services: [harness.readsService(2)] });
  const { network, platform } = fleet;
  fleet.daemon(2).child.signal('SIGSTOP');
  network.cut([1]);
  platform.setMode('stale', [network.address(1), network.address(2)]);
  fleet.publishTable(3);
  const first = fleet.daemon(0);
  await load.eventually('version 3 is active', async () => (await first.tableVersion()) === 3);
  fleet.publishTable(2);
  const revisionOfOlderTable = 3;
  await load.eventually(
    'the older version has been read',
    () => platform.deliveredRevisions.get(`${network.address(0)} table`) === revisionOfOlderTable,
  );
  // Later reads of the platform show that the daemon has processed the previous one.
  const { calls } = platform;
  await load.eventually('the platform is read again', () => platform.calls > calls + 2);
  expect(await first.tableVersion()).toBe(3);
  network.heal();
  fleet.daemon(2).child.signal('SIGCONT');
  await waitUntilActiveEverywhere(fleet, 3);
  await fleet.daemon(1).child.kill();
  await fleet.startDaemon(1);
  expect(await fleet.daemon(1).tableVersion()).toBe(3);
  platform.setMode('down');
  await fleet.daemon(2).child.kill();
  await fleet.startDaemon(2);
  await waitUntilActiveEverywhere(fleet, 3);
}, 30_000);
