import * as harness from './Harness';
import * as load from './Load';

const tests = new harness.Harness();

beforeAll(() => tests.open(), 30_000);
afterEach(() => tests.closeFleets());
afterAll(() => tests.close());

// Guards against a server that is never used again after a short slowdown, because only answers
// update its latency estimate and the service has no probe budget.
test('a server that has recovered from a slowdown gets work again', async () => {
  const fleet = await tests.start({ daemons: 1, seed: 40, services: [harness.readsService(4)] });
  const [server] = fleet.servers;
  const traffic = new load.Load(fleet, 'reads', 'read', () => fleet.daemon(0).url, 4);
  await traffic.waitForRequests(200);
  server?.backend.setFaults({ slowFactor: 40 });
  await traffic.waitForRequests(200);
  server?.backend.clearFaults();
  const runs = () => server?.backend.record.runs.length ?? 0;
  await load.eventually('the server is idle', () => server?.backend.inFlight === 0);
  const before = runs();
  await load.eventually('the server gets work', () => runs() > before + 3, 8_000);
  await traffic.stop();
}, 30_000);
