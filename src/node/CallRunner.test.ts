import * as callCoordinator from '../common/call/CallCoordinator';
import type * as callTypes from '../common/call/Types';
import * as manualClock from '../common/ManualClock';
import * as policyFactory from '../common/policy/PolicyFactory';
import * as probeBudget from '../common/probing/ProbeBudget';
import * as seededRandom from '../common/SeededRandom';
import * as requestSuspicion from '../common/suspicion/RequestSuspicion';
import type * as tableTypes from '../common/table/Types';
import * as fakeTransport from '../common/testing/FakeTransport';
import * as fixtures from '../common/testing/Fixtures';
import * as callRunner from './CallRunner';
import type * as gatewayTypes from './keys/Types';
import * as serviceSet from './ServiceSet';

const ANSWER = { status: 200, headers: [], body: new Uint8Array() };
const GRANTED = { kind: 'granted', claim: { key: 'key', attempt: 'a' } } as const;

function build(requestKey: tableTypes.RequestKeyRule = 'required') {
  const clock = new manualClock.ManualClock();
  const transport = new fakeTransport.FakeTransport();
  const table = fixtures.makeTable({ requestKey, idempotent: false });
  const random = new seededRandom.SeededRandom(1);
  const services = new serviceSet.ServiceSet(
    '10.0.1.1:1',
    () => policyFactory.createPolicy('random', random),
    new probeBudget.ProbeBudget(clock),
    transport,
    clock,
  );
  services.update(table);
  const suspicion = new requestSuspicion.RequestSuspicion(clock);
  const coordinator = new callCoordinator.CallCoordinator(transport, suspicion, clock);
  const completed: string[] = [];
  let resolveClaim: (claim: gatewayTypes.ClaimResult) => void = () => undefined;
  const claim = new Promise<gatewayTypes.ClaimResult>((resolve) => {
    resolveClaim = resolve;
  });
  let refusal: Exclude<gatewayTypes.ClaimResult, { kind: 'granted' }> | undefined;
  const keys: callRunner.IKeyClaims = {
    claim: () => claim,
    complete: (_claim, outcome) => {
      completed.push(outcome.kind);
      return Promise.resolve(true);
    },
    refuse: (_request, stated) => Promise.resolve(refusal ?? stated),
  };
  const runner = new callRunner.CallRunner(coordinator, services, keys, clock);
  const outcomes: callTypes.CallOutcome[] = [];
  const call = {
    requestId: 'r',
    service: table.services.get('status'),
    table,
    method: 'POST',
    path: '/',
    headers: [],
    body: new Uint8Array(),
    deadlineMs: 1_000,
    depth: 0,
    retriesSpent: 0,
    fingerprint: 'f',
  } as callTypes.ICall;
  return {
    clock,
    transport,
    runner,
    outcomes,
    completed,
    start: () => runner.start(call, 'key', (outcome) => outcomes.push(outcome)),
    settle: async (result: gatewayTypes.ClaimResult) => {
      resolveClaim(result);
      await new Promise(setImmediate);
    },
    setRefusal: (result: typeof refusal) => {
      refusal = result;
    },
  };
}

test('sends a keyed request after its claim was granted, and records the outcome', async () => {
  const { transport, runner, outcomes, completed, start, settle } = build();
  start();
  expect(transport.attempts).toHaveLength(0);
  expect(runner.inFlight).toBe(1);
  await settle(GRANTED);
  transport.attempts[0]?.listener.onEnd({ kind: 'answered', answer: ANSWER });
  expect(outcomes).toMatchObject([{ kind: 'answered' }]);
  expect(completed).toEqual(['answered']);
  expect(runner.inFlight).toBe(0);
});

test('does not send a request whose claim was not granted', async () => {
  const { transport, outcomes, start, settle } = build();
  start();
  await settle({ kind: 'answered', answer: ANSWER });
  expect(outcomes).toMatchObject([{ kind: 'answered' }]);
  expect(transport.attempts).toHaveLength(0);
});

// Guards against a request that is sent after its caller already received an outcome.
test('completes a claim granted after the deadline without sending the request', async () => {
  const { clock, transport, outcomes, completed, start, settle } = build();
  start();
  clock.advance(1_000);
  const unknown = { kind: 'unknown', reason: 'key-issuer-unavailable', dispatched: false };
  expect(outcomes).toMatchObject([unknown]);
  await settle(GRANTED);
  expect(transport.attempts).toHaveLength(0);
  expect(completed).toEqual(['not-run']);
  expect(outcomes).toHaveLength(1);
});

// Guards against an answer that is lost because the connection of the caller broke.
test('a keyed call continues after its caller disconnects, and its answer is recorded', async () => {
  const { transport, outcomes, completed, start, settle } = build();
  const running = start();
  await settle(GRANTED);
  running.cancel();
  expect(transport.attempts[0]?.cancelled).toBe(false);
  transport.attempts[0]?.listener.onEnd({ kind: 'answered', answer: ANSWER });
  expect(completed).toEqual(['answered']);
  expect(outcomes).toEqual([]);
});

test('a call without a key is cancelled when its caller disconnects', () => {
  const { transport, start } = build('none');
  start().cancel();
  expect(transport.attempts[0]?.cancelled).toBe(true);
});

// Guards against `not-run` for a request that another daemon runs with the same key.
test('a refusal of an unclaimed key is `not-run` only if the key was unused', async () => {
  const { runner, setRefusal } = build();
  const refusal = { kind: 'not-run', reason: 'shutting-down', detail: 'd' } as const;
  expect(await runner.refuse('key', 'status', refusal)).toEqual(refusal);
  setRefusal({ kind: 'not-run', reason: 'request-key-reused', detail: 'other content' });
  expect(await runner.refuse('key', 'status', refusal)).toMatchObject({
    kind: 'unknown',
    reason: 'earlier-outcome-unknown',
  });
});
