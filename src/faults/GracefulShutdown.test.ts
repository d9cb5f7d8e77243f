import * as harness from './Harness';
import * as keyedOrders from './KeyedOrders';
import * as load from './Load';

const tests = new harness.Harness();

beforeAll(() => tests.open(), 30_000);
afterEach(() => tests.closeFleets());
afterAll(() => tests.close());

// Guards against requests that fail during a graceful shutdown, of one daemon twice in a row and of
// all in turn. The platform's balancer keeps sending requests to a stopping daemon for half of
// `platformBalancerLagMs`.
test.each([
  ['one daemon, twice in a row,', [0, 0]],
  ['each daemon in turn', [0, 1, 2]],
])(
  'a graceful shutdown of %s fails no request',
  async (_name, stops) => {
    const lagMs = 400;
    const fleet = await tests.start({
      daemons: 3,
      seed: 8,
      services: [
        harness.ordersService(4, { serviceMs: 15 }),
        harness.readsService(3, { deadline_ms: 10_000 }, { serviceMs: 700 }),
      ],
      settings: { platformBalancerLagMs: lagMs },
    });
    const targets = new Set([0, 1, 2]);
    const url = (sequence: number) => {
      const remaining = [...targets];
      return fleet.daemon(remaining[sequence % remaining.length] ?? 0).url;
    };
    const traffic = new load.Load(fleet, 'orders', 'order', url, 9);
    await traffic.waitForRequests(60);
    for (const index of stops) {
      // These reads are still in flight when the lag of the platform's balancer has passed.
      const longReads = [1, 2, 3, 4, 5].map((number) =>
        fleet.caller.submit(fleet.daemon(index).url, {
          service: 'reads',
          identity: `read ${number} of round ${traffic.sent}`,
        }),
      );
      const stopped = fleet.daemon(index).stop();
      const sinceMs = fleet.clock.monotonicMs();
      const hasBalancerReacted = () => fleet.clock.monotonicMs() - sinceMs > lagMs / 2;
      await load.eventually('the balancer has removed the daemon', hasBalancerReacted);
      targets.delete(index);
      expect(await stopped).toBe(0);
      await Promise.all(longReads);
      await fleet.startDaemon(index);
      targets.add(index);
      await traffic.waitForRequests(60);
    }
    await traffic.stop();
    const unanswered = fleet.caller.submissions
      .filter((one) => one.outcome !== 'answered')
      .map((one) => `${one.outcome} ${one.reason}`);
    expect(unanswered).toEqual([]);
    expect(fleet.audit(keyedOrders.isOrder)).toMatchObject({ wrongAnswers: 0, doubledRuns: 0 });
  },
  30_000,
);
