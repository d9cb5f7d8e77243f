import * as harness from './Harness';
import * as load from './Load';

const tests = new harness.Harness();

beforeAll(() => tests.open(), 30_000);
afterEach(() => tests.closeFleets());
afterAll(() => tests.close());

// Guards against the outcome "not run" for requests that a backend server started, while servers
// shed, refuse, crash and are overloaded.
test('a request refused as not run was started by no server', async () => {
  const fleet = await tests.start({
    daemons: 2,
    seed: 3,
    services: [harness.ordersService(3, { slots: 2, serviceMs: 8, queueLimit: 1 })],
  });
  const [first, second, third] = fleet.servers;
  const url = (sequence: number) => fleet.daemon(sequence % 2).url;
  const traffic = new load.Load(fleet, 'orders', 'order', url, 16);
  await traffic.waitForRequests(200);
  first?.backend.setFaults({ refuse: 'not-run' });
  await traffic.waitForRequests(200);
  second?.backend.setFaults({ refuse: 'unmarked' });
  await traffic.waitForRequests(200);
  await third?.backend.close();
  await traffic.waitForRequests(200);
  await third?.backend.listen(Number(third.address.split(':')[1]), third.host);
  fleet.servers.forEach(({ backend }) => backend.setFaults({ refuse: 'not-run' }));
  await traffic.waitForRequests(200);
  fleet.servers.forEach(({ backend }) => backend.clearFaults());
  await traffic.waitForRequests(200);
  await traffic.stop();
  const counts = fleet.audit(() => true);
  expect(counts).toMatchObject({ wrongAnswers: 0, falseNotRun: 0, doubledRuns: 0 });
  expect(counts.refusedNotRun).toBeGreaterThan(50);
  expect(counts.answered).toBeGreaterThan(50);
}, 30_000);

// Guards against the outcome "not run" at the deadline for a request that was already sent, and
// against a request that is sent after its caller got a refusal.
test('a refusal at the deadline says not run only if nothing was sent', async () => {
  const fleet = await tests.start({
    daemons: 1,
    seed: 4,
    services: [harness.ordersService(1, { slots: 1, serviceMs: 30 })],
  });
  const requests = Array.from({ length: 60 }, (_, index) => index);
  await Promise.all(
    requests.map((index) =>
      fleet.caller.submit(fleet.daemon(0).url, {
        service: 'orders',
        identity: `order-${index}`,
        timeoutMs: 20 + 5 * index,
      }),
    ),
  );
  await load.eventually('the server is idle', () => fleet.servers[0]?.backend.inFlight === 0);
  const counts = fleet.audit(() => true);
  expect(counts).toMatchObject({ wrongAnswers: 0, falseNotRun: 0, doubledRuns: 0 });
  expect(counts.refusedNotRun).toBeGreaterThan(0);
}, 30_000);

// Guards against retries of a request that crashes one server after the other.
test('a request that crashes servers is refused after two servers', async () => {
  const fleet = await tests.start({ daemons: 1, seed: 5, services: [harness.readsService(5)] });
  const { url } = fleet.daemon(0);
  for (let attempt = 0; attempt < 6; attempt += 1) {
    await fleet.caller.submit(url, { service: 'reads', identity: 'fatal', crashes: true });
  }
  const crashed = fleet.servers.filter(({ backend }) =>
    backend.record.runs.some((run) => run.identity === 'fatal'),
  );
  expect(crashed.length).toBe(2);
  const last = fleet.caller.submissions.at(-1);
  expect([last?.outcome, last?.reason]).toEqual(['unknown', 'suspected-crash']);
  const harmless = await fleet.caller.submit(url, { service: 'reads', identity: 'harmless' });
  expect(harmless.outcome).toBe('answered');
}, 30_000);
