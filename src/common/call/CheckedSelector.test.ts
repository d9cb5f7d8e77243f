import * as manualClock from '../ManualClock';
import * as checkBudget from '../policy/CheckBudget';
import * as randomPolicy from '../policy/RandomPolicy';
import type * as policyTypes from '../policy/Types';
import * as seededRandom from '../SeededRandom';
import type * as tableTypes from '../table/Types';
import * as serviceBalancer from './ServiceBalancer';

const SERVICE = { name: 's', retryFraction: 0.2, hedgeFraction: 0, healthPath: '/health' };

function setUp(replyOf: (address: string) => policyTypes.CheckReply) {
  const clock = new manualClock.ManualClock();
  const random = new seededRandom.SeededRandom(1);
  const budget = new checkBudget.CheckBudget(clock);
  budget.setRate(10_000, 1);
  const balancer = new serviceBalancer.ServiceBalancer(
    new randomPolicy.RandomPolicy(random),
    clock,
    true,
    {
      checker: {
        hasIdleConnection: () => true,
        check: (row, _path, _timeoutMs, onReply) => onReply(replyOf(row.address)),
      },
      budget,
      random,
      failureDomain: 'a',
      rankOf: () => 0,
    },
  );
  const rows = ['x', 'y', 'z'].map((address) => ({
    service: 's',
    address,
    failureDomain: 'a',
    weight: 1,
    slots: 3,
    maxConnections: 100,
  }));
  const table = { maxDaemons: 1, servers: new Map([['s', rows]]) } as unknown as tableTypes.ITable;
  balancer.update(table, SERVICE as tableTypes.IServiceRow);
  const refuse = () => {
    balancer.select(new Set(['y', 'z']), { table, objectiveAtMs: undefined }, (selected) => {
      if (selected.kind !== 'server') return;
      balancer.recordEnd(balancer.recordStart(selected.server, selected.cost), 'refused');
    });
    clock.advance(100);
  };
  return { balancer, refuse };
}

function readyReply(inFlight: number): policyTypes.CheckReply {
  return { kind: 'ready', report: { inFlight, queued: 0, draining: false } };
}

// Guards against ejecting one server after the other under overload.
test('a server that refuses because it is full is not ejected', () => {
  const { balancer, refuse } = setUp(() => readyReply(3));
  for (let count = 0; count < 10; count += 1) refuse();
  expect(balancer.avoidanceOf('x')).toBeUndefined();
});

// Guards against suspecting a request after a lost connection while its server still runs.
test('a loss is confirmed only if the server is gone', () => {
  const confirmed: string[] = [];
  const gone = setUp(() => ({ kind: 'unreachable' })).balancer;
  const running = setUp(() => readyReply(0)).balancer;
  [gone, running].forEach((balancer, index) =>
    balancer.confirmLoss(balancer.states[0] as (typeof balancer.states)[0], () =>
      confirmed.push(`${index}`),
    ),
  );
  expect(confirmed).toEqual(['0']);
});
