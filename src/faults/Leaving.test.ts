import type * as faultFleet from './FaultFleet';
import * as harness from './Harness';
import * as load from './Load';

const tests = new harness.Harness();

beforeAll(() => tests.open(), 30_000);
afterEach(() => tests.closeFleets());
afterAll(() => tests.close());

/** Time after which a server that is leaving must receive no new work, in milliseconds. */
const LEAVING_LIMIT_MS = 5_000;

function startLoad(fleet: faultFleet.FaultFleet): load.Load {
  const url = (sequence: number) => fleet.daemon(sequence % fleet.daemons.length).url;
  return new load.Load(fleet, 'reads', 'read', url, 6);
}

// Guards against new work for a draining server, and against failures of the requests it still runs.
test('a draining server gets no new work, and its shutdown fails no request', async () => {
  const fleet = await tests.start({ daemons: 3, seed: 6, services: [harness.readsService(4)] });
  const leaving = fleet.servers[0] as faultFleet.ITestServer;
  const { clock } = fleet;
  const traffic = startLoad(fleet);
  await traffic.waitForRequests(100);
  leaving.backend.setDraining(true);
  const sinceMs = clock.monotonicMs();
  const hasLimitPassed = () => clock.monotonicMs() - sinceMs > LEAVING_LIMIT_MS + 1_000;
  await load.eventually('the limit has passed', hasLimitPassed);
  const late = leaving.backend.record.runs.filter(
    (run) => (run.drainingForMs ?? 0) > LEAVING_LIMIT_MS,
  );
  expect(late).toEqual([]);
  await load.eventually('the server is idle', () => leaving.backend.inFlight === 0);
  await leaving.backend.close();
  await traffic.waitForRequests(100);
  await traffic.stop();
  const counts = fleet.audit(() => false);
  expect(counts).toMatchObject({ wrongAnswers: 0, refusedNotRun: 0, outcomeUnknown: 0 });
}, 30_000);

// Guards against new work for a server that only the platform's VM list reports as leaving.
test('a server that is leaving in the VM list gets no new work', async () => {
  const fleet = await tests.start({ daemons: 2, seed: 7, services: [harness.readsService(3)] });
  const leaving = fleet.servers[1] as faultFleet.ITestServer;
  const traffic = startLoad(fleet);
  await traffic.waitForRequests(50);
  fleet.publishVms([leaving.address]);
  const sinceMs = fleet.clock.monotonicMs();
  const runsNow = () => leaving.backend.record.runs.length;
  let runs = runsNow();
  // The server is quiet when it gets none of the next 300 requests.
  await load.eventually('the server is quiet', async () => {
    runs = runsNow();
    await traffic.waitForRequests(300);
    return runsNow() === runs;
  });
  const last = leaving.backend.record.runs.at(-1);
  expect((last?.arrivedMs ?? 0) - sinceMs).toBeLessThan(LEAVING_LIMIT_MS);
  await traffic.stop();
}, 30_000);
