import * as manualClock from '../ManualClock';
import * as checkBudget from '../policy/CheckBudget';
import * as randomPolicy from '../policy/RandomPolicy';
import * as seededRandom from '../SeededRandom';
import * as requestSuspicion from '../suspicion/RequestSuspicion';
import type * as tableTypes from '../table/Types';
import * as fakeTransport from '../testing/FakeTransport';
import * as fixtures from '../testing/Fixtures';
import * as placingFleet from '../testing/PlacingFleet';
import * as callCoordinator from './CallCoordinator';
import * as serviceBalancer from './ServiceBalancer';
import type * as callTypes from './Types';

/** Short reads while servers are slow for more than half of the time. */
const SLOW_READS: placingFleet.IPlacingLoad = {
  daemons: 110,
  servers: 62,
  slots: 4,
  callsPerSecond: 385,
  workMs: 121,
  objectiveMs: 304,
  deadlineMs: 2_407,
  oneWayMs: 1.4,
  slowFraction: 0.6,
  service: { retryFraction: 0.2, hedgeFraction: 0.1 },
};

const ANSWER = { status: 200, headers: [], body: new Uint8Array() };

/** Two servers that work for 200 ms, and calls with an objective of 600 ms. */
function setUp(changes: Partial<tableTypes.IServiceRow> = {}) {
  const clock = new manualClock.ManualClock();
  const transport = new fakeTransport.FakeTransport();
  const budget = new checkBudget.CheckBudget(clock);
  budget.setRate(10_000, 1);
  const random = new seededRandom.SeededRandom(1);
  const policy = new randomPolicy.RandomPolicy(random);
  const balancer = new serviceBalancer.ServiceBalancer(policy, clock, true, {
    checker: {
      hasIdleConnection: () => true,
      check: (_row, _path, _timeoutMs, onReply) =>
        onReply({ kind: 'ready', report: { inFlight: 0, queued: 0, draining: false } }),
    },
    budget,
    random,
    failureDomain: 'domain-0',
    rankOf: () => 0,
  });
  const table = fixtures.makeTable({ hedgeFraction: 1, healthPath: '/health', ...changes }, 2);
  const service = table.services.get('status') as tableTypes.IServiceRow;
  balancer.update(table, service);
  const suspicion = new requestSuspicion.RequestSuspicion(clock);
  const coordinator = new callCoordinator.CallCoordinator(transport, suspicion, clock);
  const outcomes: callTypes.CallOutcome[] = [];
  const start = (call: Partial<callTypes.ICall> = {}) =>
    coordinator.start(
      {
        requestId: 'request',
        service,
        table,
        method: 'GET',
        path: '/',
        headers: [],
        body: new Uint8Array(),
        deadlineMs: clock.monotonicMs() + 2_000,
        objectiveAtMs: clock.monotonicMs() + 600,
        depth: 0,
        retriesSpent: 0,
        fingerprint: 'fingerprint',
        ...call,
      },
      balancer,
      (outcome) => outcomes.push(outcome),
    );
  // The first answer tells the service time.
  start();
  clock.advance(200);
  transport.attempts[0]?.listener.onEnd({ kind: 'answered', answer: ANSWER });
  /** Starts a call that is not answered within one and a half times the service time. */
  const startOverdue = (call: Partial<callTypes.ICall> = {}) => {
    start(call);
    clock.advance(310);
  };
  return { clock, transport, outcomes, startOverdue };
}

// Guards against calls that wait for a slow server although another one could answer in time.
test('an overdue call is sent to a second server, and the loser is cancelled', () => {
  const { transport, outcomes, startOverdue } = setUp();
  startOverdue();
  expect(transport.attempts).toHaveLength(3);
  transport.attempts[2]?.listener.onEnd({ kind: 'answered', answer: ANSWER });
  expect(transport.attempts[1]?.cancelled).toBe(true);
  expect(outcomes).toHaveLength(2);
});

// Guards against a call that fails with its second server while the first is at work.
test('if the second server is lost, the call waits for the first', () => {
  const { transport, outcomes, startOverdue } = setUp();
  startOverdue();
  transport.attempts[2]?.listener.onEnd({ kind: 'lost', reason: 'connection-lost', detail: '' });
  expect(outcomes).toHaveLength(1);
  transport.attempts[1]?.listener.onEnd({ kind: 'answered', answer: ANSWER });
  expect(outcomes[1]?.kind).toBe('answered');
});

// Guards against requests that run twice, that exceed the limit of their route, or that take part of
// the network with a second large answer.
test.each([
  ['that may not be repeated', { idempotent: false }, {}],
  ['limited to one server', {}, { maxAttempts: 1 }],
  ['with a large answer', {}, { hasLargeAnswer: true }],
  ['without an objective', {}, { objectiveAtMs: undefined }],
  ['of a service without a budget', { hedgeFraction: 0 }, {}],
])('a call %s gets no second send', (_name, service, call) => {
  const { transport, startOverdue } = setUp(service);
  startOverdue(call);
  expect(transport.attempts).toHaveLength(2);
});

// Guards against reads that miss their objective since they begin on a slow server, and against more
// extra requests than all daemons together may send.
test('short reads on slow servers: most are in time, within the budget of the fleet', () => {
  const fleet = new placingFleet.PlacingFleet(SLOW_READS);
  fleet.run(4);
  fleet.restart();
  fleet.run(20);
  const { calls, sends, inTime } = fleet.result;
  expect(inTime / calls).toBeGreaterThan(0.955);
  expect(sends / calls).toBeLessThan(1.1);
});

// Guards against second sends that add load to a service that has no room.
test('overload: hardly any call is sent twice', () => {
  const fleet = new placingFleet.PlacingFleet({ ...SLOW_READS, callsPerSecond: 1_000 });
  fleet.run(4);
  fleet.restart();
  fleet.run(6);
  const { calls, sends } = fleet.result;
  expect(sends / calls).toBeLessThan(1.03);
});
