import type * as faultFleet from './FaultFleet';
import * as harness from './Harness';
import * as keyedOrders from './KeyedOrders';
import * as load from './Load';
import * as testNetwork from './TestNetwork';

const tests = new harness.Harness();

beforeAll(() => tests.open(), 30_000);
afterEach(() => tests.closeFleets());
afterAll(() => tests.close());

async function start(seed: number, serviceMs: number) {
  const base = harness.ordersService(3, { serviceMs });
  const cells = { ...base.cells, request_key: 'required' as const, deadline_ms: 2_000 };
  const fleet = await tests.start({ daemons: 3, seed, services: [{ ...base, cells }] });
  return { fleet, orders: new keyedOrders.KeyedOrders(fleet, 'orders') };
}

function expectOnce(fleet: faultFleet.FaultFleet): void {
  expect(fleet.audit(keyedOrders.isOrder)).toMatchObject({
    wrongAnswers: 0,
    falseNotRun: 0,
    doubledRuns: 0,
  });
}

// Guards against a second run when a caller sends the same request concurrently through all
// daemons, and again later.
test('concurrent submissions of one request run it once', async () => {
  const { fleet, orders } = await start(20, 10);
  const keys = await orders.fetchKeys(0, 10);
  expect(keys).toHaveLength(10);
  const rounds = await Promise.all([0, 1, 2].map((index) => orders.submit(index, keys)));
  expect(rounds.flat().filter((one) => one.outcome === 'answered').length).toBeGreaterThan(9);
  const again = await orders.submit(2, keys);
  expect(again.map((one) => one.outcome)).toEqual(keys.map(() => 'answered'));
  expect(new Set(fleet.startedIdentities).size).toBe(10);
  expectOnce(fleet);
}, 30_000);

// Guards against a second run after the daemon that sent the request was killed.
test('a request is not run again after its daemon was killed', async () => {
  const { fleet, orders } = await start(21, 100);
  const keys = await orders.fetchKeys(0, 6);
  const first = orders.submit(1, keys);
  await load.eventually('requests run', () => fleet.startedIdentities.length >= 3);
  await fleet.daemon(1).child.kill();
  await first;
  await orders.submit(2, keys);
  await fleet.startDaemon(1);
  await orders.submit(1, keys);
  expect(fleet.startedIdentities.length).toBeGreaterThan(2);
  expectOnce(fleet);
}, 30_000);

// Guards against another daemon that decides on a key while its issuer is partitioned, paused, or
// killed and restarted.
test('no other daemon decides on a key while its issuer is unavailable', async () => {
  const { fleet, orders } = await start(22, 5);
  const keys = await orders.fetchKeys(0, 4);
  const unsent = await orders.fetchKeys(0, 4);
  fleet.network.cut([0]);
  const [own, other] = await Promise.all([orders.submit(0, keys), orders.submit(1, keys)]);
  expect(own.map((one) => one.outcome)).toEqual(keys.map(() => 'answered'));
  expect(other.map((one) => one.outcome)).toEqual(keys.map(() => 'unknown'));
  fleet.network.heal();
  fleet.daemon(0).child.signal('SIGSTOP');
  const paused = orders.submit(2, unsent);
  await paused;
  fleet.daemon(0).child.signal('SIGCONT');
  await orders.submit(1, unsent);
  expectOnce(fleet);
  await fleet.daemon(0).child.kill();
  await orders.submit(1, keys);
  await fleet.startDaemon(0);
  await orders.submit(0, keys);
  await orders.submit(0, unsent);
  expectOnce(fleet);
}, 30_000);

// Guards against a second run when the issuer shuts down gracefully and hands its keys over.
test('keys survive a graceful shutdown of their issuer, and still allow one run', async () => {
  const { fleet, orders } = await start(23, 20);
  const keys = await orders.fetchKeys(0, 6);
  const early = orders.submit(1, keys.slice(0, 3));
  const exit = fleet.daemon(0).stop();
  await early;
  expect(await exit).toBe(0);
  await orders.submit(1, keys);
  await orders.submit(2, keys);
  expectOnce(fleet);
  const answered = fleet.caller.submissions.filter((one) => one.outcome === 'answered');
  expect(answered.length).toBeGreaterThan(5);
}, 30_000);

// Guards against a retry on another server after a server was lost with the request in flight.
test('a request whose server was lost is not sent again', async () => {
  const fleet = await tests.start({
    daemons: 1,
    seed: 24,
    services: [harness.ordersService(4, { serviceMs: 30 })],
  });
  const url = () => fleet.daemon(0).url;
  const traffic = new load.Load(fleet, 'orders', 'order', url, 6);
  await traffic.waitForRequests(100);
  for (const server of fleet.servers) {
    await load.eventually('a request runs', () => server.backend.inFlight > 0);
    await server.backend.close();
    await traffic.waitForRequests(30);
    await server.backend.listen(testNetwork.BACKEND_PORT, server.host);
  }
  await traffic.stop();
  expectOnce(fleet);
  expect(fleet.audit(() => true).outcomeUnknown).toBeGreaterThan(0);
}, 30_000);
