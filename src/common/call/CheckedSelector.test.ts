import * as manualClock from '../ManualClock';
import * as checkBudget from '../policy/CheckBudget';
import * as randomPolicy from '../policy/RandomPolicy';
import type * as policyTypes from '../policy/Types';
import * as serverRestraints from '../restraint/ServerRestraints';
import * as seededRandom from '../SeededRandom';
import type * as tableTypes from '../table/Types';
import * as serviceBalancer from './ServiceBalancer';

const SERVICE = { name: 's', retryFraction: 0.2, hedgeFraction: 0, healthPath: '/health' };

function setUp(
  replyOf: (address: string) => policyTypes.CheckReply,
  onceHeard?: (callback: () => void) => void,
) {
  const clock = new manualClock.ManualClock();
  const random = new seededRandom.SeededRandom(1);
  const restraints = new serverRestraints.ServerRestraints('10.0.1.1:1', clock, random);
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
      onceHeard,
    },
    restraints,
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
  const refuse = (onRefused: () => void = () => undefined) => {
    balancer.select(new Set(['y', 'z']), { table, objectiveAtMs: undefined }, (selected) => {
      if (selected.kind !== 'server') return;
      onRefused();
      balancer.recordEnd(balancer.recordStart(selected.server), 'refused');
    });
    clock.advance(100);
  };
  const selectOne = () => {
    let address: string | undefined;
    balancer.select(new Set(), { table, objectiveAtMs: undefined }, (selected) => {
      if (selected.kind === 'server') address = selected.server.address;
    });
    return address;
  };
  const pause = (pauseMs: number) => {
    const signals = { limit: 'none', isLeaving: false, pauseMs } as const;
    restraints.record({ address: 'x' }, signals, 'answer');
  };
  const stateOf = (address: string) =>
    balancer.states.find((state) => state.address === address) as (typeof balancer.states)[0];
  return { balancer, clock, table, refuse, selectOne, pause, stateOf };
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

// Guards against a server that stays unused after the pause, since its refusal counts as a failure.
test('a server is used again after the pause that it asked for', () => {
  const { clock, refuse, selectOne, pause } = setUp(() => readyReply(0));
  refuse(() => pause(200));
  expect(Array.from({ length: 30 }, selectOne)).not.toContain('x');
  clock.advance(200);
  expect(Array.from({ length: 30 }, selectOne)).toContain('x');
});

// Guards against requests that reach a server after it asked for a pause, since they were waiting for
// a connection to it.
test('a selected server that asks for a pause meanwhile wants no request', () => {
  const { balancer, clock, pause, stateOf } = setUp(() => readyReply(0));
  const server = stateOf('x');
  expect(balancer.eligibility.mayStart(server, clock.monotonicMs())).toBe(true);
  pause(200);
  expect(balancer.eligibility.mayStart(server, clock.monotonicMs())).toBe(false);
  clock.advance(200);
  expect(balancer.eligibility.mayStart(server, clock.monotonicMs())).toBe(true);
});

// Guards against all the requests that were waiting for the end of a pause arriving at once.
test('the first request after a pause ends before others follow', () => {
  const { balancer, clock, selectOne, pause, stateOf } = setUp(() => readyReply(0));
  pause(200);
  clock.advance(200);
  const first = balancer.recordStart(stateOf('x'));
  expect(balancer.avoidanceOf('x')).toBe('returning');
  expect(Array.from({ length: 30 }, selectOne)).not.toContain('x');
  balancer.recordEnd(first, 'answered');
  expect(balancer.avoidanceOf('x')).toBeUndefined();
});

// Guards against suspecting a request after a lost connection while its server still runs.
test('a loss is confirmed only if the server is gone', () => {
  const confirmed: string[] = [];
  const gone = setUp(() => ({ kind: 'unreachable' })).balancer;
  const running = setUp(() => readyReply(0)).balancer;
  [gone, running].forEach((balancer, index) =>
    balancer.checkLoss(balancer.states[0] as (typeof balancer.states)[0], (verdict) => {
      if (verdict === 'ended') confirmed.push(`${index}`);
    }),
  );
  expect(confirmed).toEqual(['0']);
});

// Guards against refusing a common request because a cut of the network reset its connections.
test.each([
  ['ready', []],
  ['unreachable', ['lost']],
] as const)('a server that is %s once others reply is taken as gone: %j', (kind, expected) => {
  let reply: policyTypes.CheckReply = { kind: 'unreachable' };
  let hear = () => {};
  const { balancer } = setUp(
    () => reply,
    (callback) => {
      hear = callback;
    },
  );
  const confirmed: string[] = [];
  balancer.checkLoss(balancer.states[0] as (typeof balancer.states)[0], (verdict) => {
    if (verdict === 'ended') confirmed.push('lost');
  });
  expect(confirmed).toEqual([]);
  reply = kind === 'ready' ? readyReply(0) : { kind };
  hear();
  expect(confirmed).toEqual(expected);
});

// Guards against a service time of a few milliseconds, learned from a request to a server that had
// not replied to its check: later calls would then wait in any queue.
test('requests to servers without a recent report teach no service time', () => {
  let reply: policyTypes.CheckReply = { kind: 'silent' };
  const rig = setUp(() => reply);
  const select = () => {
    const selected: string[] = [];
    const nowMs = rig.clock.monotonicMs();
    const call = { table: rig.table, objectiveAtMs: nowMs + 600, deadlineMs: nowMs + 800 };
    rig.balancer.select(new Set(), call, (result) => {
      selected.push(result.kind);
      if (result.kind !== 'server') return;
      const attempt = rig.balancer.recordStart(result.server);
      rig.clock.advance(200);
      rig.balancer.recordEnd(attempt, 'answered');
    });
    rig.clock.advance(800);
    return selected;
  };
  expect(select()).toEqual(['server']);
  reply = { kind: 'ready', report: { inFlight: 3, queued: 9, draining: false } };
  expect(select()).toEqual(['overloaded']);
});
