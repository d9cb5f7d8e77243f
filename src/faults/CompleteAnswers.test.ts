import * as harness from './Harness';
import * as load from './Load';

const tests = new harness.Harness();

beforeAll(() => tests.open(), 30_000);
afterEach(() => tests.closeFleets());
afterAll(() => tests.close());

// Guards against partial answers, and against answers of another request on a reused connection.
test('callers receive only complete answers to their own request', async () => {
  const fleet = await tests.start({ daemons: 1, seed: 1, services: [harness.readsService(4)] });
  const [truncating, oversizing, early, silent] = fleet.servers;
  const traffic = new load.Load(fleet, 'reads', 'read', () => fleet.daemon(0).url, 8);
  await traffic.waitForRequests(100);
  truncating?.backend.setFaults({ answer: 'truncated' });
  await traffic.waitForRequests(100);
  oversizing?.backend.setFaults({ answer: 'oversized' });
  await traffic.waitForRequests(100);
  early?.backend.setFaults({ answer: 'early' });
  silent?.backend.silenceConnections();
  await traffic.waitForRequests(100);
  fleet.servers.forEach(({ backend }) => backend.clearFaults());
  silent?.backend.silenceConnections();
  await traffic.waitForRequests(100);
  await traffic.stop();
  const { submissions } = fleet.caller;
  expect(submissions.filter((one) => !one.correct)).toEqual([]);
  expect(submissions.filter((one) => one.status === 200).length).toBeGreaterThan(300);
}, 30_000);

// Guards against calls that wait for an answer beyond their deadline. CallCoordinator.test.ts tests
// late answers on a manual clock.
test('a call ends at its deadline without an answer', async () => {
  const fleet = await tests.start({
    daemons: 1,
    seed: 2,
    services: [harness.ordersService(2, { serviceMs: 600_000 })],
  });
  const timeoutMs = 50;
  const requests = Array.from({ length: 40 }, (_, index) => index);
  await Promise.all(
    requests.map((index) =>
      fleet.caller.submit(fleet.daemon(0).url, {
        service: 'orders',
        identity: `order-${index}`,
        timeoutMs,
      }),
    ),
  );
  const counts = fleet.audit(() => true);
  expect(counts).toMatchObject({ wrongAnswers: 0, falseNotRun: 0, doubledRuns: 0 });
  expect(counts.outcomeUnknown).toBeGreaterThan(0);
  expect(counts.answered).toBe(0);
}, 30_000);
