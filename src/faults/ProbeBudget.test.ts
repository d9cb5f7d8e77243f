import * as harness from './Harness';
import * as load from './Load';
import * as invariants from './Invariants';

const tests = new harness.Harness();

beforeAll(() => tests.open(), 30_000);
afterEach(() => tests.closeFleets());
afterAll(() => tests.close());

// Guards against probes beyond the fleet's budget in any second while one daemon is killed and
// restarted at once, another is paused and resumed, and a partition splits the fleet.
test('the probes of the fleet stay within the budget through restarts and pauses', async () => {
  const probesPerSecond = 12;
  const fleet = await tests.start({
    daemons: 3,
    maxDaemons: 3,
    seed: 30,
    services: [harness.readsService(4, { probes_per_second: probesPerSecond })],
  });
  const arrivals = () => fleet.servers.flatMap(({ backend }) => backend.record.probesMs);
  const waitForProbes = async (count: number) => {
    const target = arrivals().length + count;
    await load.eventually(`${target} probes`, () => arrivals().length >= target, 20_000);
  };
  const targets = [0, 1, 2];
  const url = (sequence: number) => fleet.daemon(targets[sequence % targets.length] ?? 0).url;
  const traffic = new load.Load(fleet, 'reads', 'read', url, 3);
  await waitForProbes(2 * probesPerSecond);
  targets.shift();
  await fleet.daemon(0).child.kill();
  await fleet.startDaemon(0);
  await waitForProbes(probesPerSecond);
  fleet.network.cut([2]);
  targets.splice(0, 2, 2);
  fleet.daemon(1).child.signal('SIGSTOP');
  await waitForProbes(probesPerSecond);
  fleet.daemon(1).child.signal('SIGCONT');
  await waitForProbes(2 * probesPerSecond);
  await traffic.stop();
  expect(invariants.countBudgetOverruns(arrivals(), probesPerSecond)).toBe(0);
}, 60_000);
