import * as fakeTransport from '../testing/FakeTransport';
import * as fixtures from '../testing/Fixtures';
import type * as tableTypes from '../table/Types';
import type * as callTypes from './Types';

const ANSWER: callTypes.IAnswer = { status: 200, headers: [], body: new Uint8Array() };
const UNAVAILABLE: callTypes.IAnswer = { ...ANSWER, status: 503 };
const LOST: callTypes.AttemptOutcome = { kind: 'lost', reason: 'connection-lost', detail: 'reset' };

function attemptAt(rig: fixtures.IRig, index: number): fakeTransport.IFakeAttempt {
  const attempt = rig.transport.attempts[index];
  if (attempt === undefined) throw new Error(`attempt ${index} was not made`);
  return attempt;
}

function endAttempt(rig: fixtures.IRig, index: number, outcome: callTypes.AttemptOutcome): void {
  attemptAt(rig, index).listener.onEnd(outcome);
}

test('returns the answer of the server', () => {
  const rig = fixtures.makeRig();
  rig.start();
  endAttempt(rig, 0, { kind: 'answered', answer: ANSWER });
  expect(rig.outcomes).toMatchObject([{ kind: 'answered', answer: ANSWER }]);
});

test('retries an idempotent call on another server', () => {
  const rig = fixtures.makeRig();
  rig.start();
  endAttempt(rig, 0, LOST);
  expect(attemptAt(rig, 1).server).not.toBe(attemptAt(rig, 0).server);
  endAttempt(rig, 1, { kind: 'answered', answer: ANSWER });
  expect(rig.outcomes).toMatchObject([{ kind: 'answered' }]);
});

test('never retries a non-idempotent call that may have run', () => {
  const rig = fixtures.makeRig({ idempotent: false });
  rig.start();
  endAttempt(rig, 0, LOST);
  expect(rig.transport.attempts).toHaveLength(1);
  expect(rig.outcomes).toMatchObject([{ kind: 'unknown', reason: 'connection-lost' }]);
});

test('retries a non-idempotent call that a server refused without running it', () => {
  const rig = fixtures.makeRig({ idempotent: false });
  rig.start();
  endAttempt(rig, 0, { kind: 'refused', draining: false });
  expect(rig.transport.attempts).toHaveLength(2);
});

test('reports not-run only if every attempt is known not to have run', () => {
  const rig = fixtures.makeRig();
  rig.start();
  endAttempt(rig, 0, LOST);
  endAttempt(rig, 1, { kind: 'refused', draining: false });
  endAttempt(rig, 2, { kind: 'refused', draining: false });
  expect(rig.outcomes).toMatchObject([{ kind: 'unknown' }]);
});

test('reports not-run if all servers refused', () => {
  const rig = fixtures.makeRig({}, 2);
  rig.start();
  endAttempt(rig, 0, { kind: 'refused', draining: false });
  endAttempt(rig, 1, { kind: 'refused', draining: false });
  expect(rig.outcomes).toMatchObject([{ kind: 'not-run', reason: 'backend-server-refused' }]);
});

// Guards against "not run" for a call that a server may have run before it got out of reach.
test('a call that is abandoned after it was sent is unknown, with the number of its servers', () => {
  const rig = fixtures.makeRig();
  const running = rig.start();
  endAttempt(rig, 0, LOST);
  running.abandon();
  expect(rig.outcomes).toMatchObject([{ kind: 'unknown', reason: 'connection-lost', attempts: 2 }]);
  expect(attemptAt(rig, 1).cancelled).toBe(true);
});

test('a call that is abandoned before it was sent has not run', () => {
  const rig = fixtures.makeRig({}, 3, false);
  rig.start().abandon();
  expect(rig.outcomes).toMatchObject([{ kind: 'not-run', reason: 'no-backend-server' }]);
});

test('returns no answer after the deadline', () => {
  const rig = fixtures.makeRig();
  rig.start();
  rig.clock.advance(1_000);
  endAttempt(rig, 0, { kind: 'answered', answer: ANSWER });
  expect(rig.outcomes).toMatchObject([{ kind: 'unknown', reason: 'deadline-exceeded' }]);
  expect(attemptAt(rig, 0).cancelled).toBe(true);
});

test('reports not-run at the deadline if nothing was sent', () => {
  const rig = fixtures.makeRig({}, 3, false);
  rig.start();
  rig.clock.advance(1_000);
  expect(rig.outcomes).toMatchObject([{ kind: 'not-run', reason: 'deadline-before-dispatch' }]);
});

test('sends no attempt after a process pause beyond the deadline', () => {
  const rig = fixtures.makeRig();
  rig.start();
  rig.clock.pause(5_000);
  endAttempt(rig, 0, { kind: 'refused', draining: false });
  expect(rig.transport.attempts).toHaveLength(1);
  expect(rig.outcomes).toHaveLength(1);
});

test('hedges a slow call and cancels the slower attempt', () => {
  const rig = fixtures.makeRig({ hedgeFraction: 0.5 });
  rig.start();
  rig.clock.advance(300);
  endAttempt(rig, 1, { kind: 'answered', answer: ANSWER });
  expect(attemptAt(rig, 0).cancelled).toBe(true);
  expect(rig.outcomes).toMatchObject([{ kind: 'answered' }]);
});

// Guards against hedges that send a call to more servers than its route allows.
test.each([
  [1, 1],
  [2, 2],
])('a call limited to %i attempts is hedged only within the limit', (maxAttempts, expected) => {
  const rig = fixtures.makeRig({ hedgeFraction: 1 });
  rig.start({ maxAttempts });
  rig.clock.advance(900);
  expect(rig.transport.attempts).toHaveLength(expected);
});

test('does not hedge a non-idempotent call', () => {
  const rig = fixtures.makeRig({ hedgeFraction: 0.5, idempotent: false });
  rig.start();
  rig.clock.advance(900);
  expect(rig.transport.attempts).toHaveLength(1);
});

test('does not retry a failure that passed through a deeper daemon', () => {
  const rig = fixtures.makeRig();
  rig.start();
  const headers = ['request-outcome', 'unknown'];
  endAttempt(rig, 0, { kind: 'answered', answer: { ...UNAVAILABLE, headers } });
  expect(rig.transport.attempts).toHaveLength(1);
  expect(rig.outcomes).toMatchObject([{ kind: 'answered', answer: { status: 503 } }]);
});

test('does not retry when the call tree has spent its retries', () => {
  const rig = fixtures.makeRig();
  rig.start({ retriesSpent: 2 });
  endAttempt(rig, 0, LOST);
  expect(rig.transport.attempts).toHaveLength(1);
});

test('refuses a request that was in flight on two lost servers', () => {
  const rig = fixtures.makeRig();
  rig.start();
  endAttempt(rig, 0, LOST);
  endAttempt(rig, 1, LOST);
  expect(rig.transport.attempts).toHaveLength(2);
  rig.start();
  expect(rig.outcomes).toMatchObject([
    { kind: 'unknown', reason: 'connection-lost' },
    { kind: 'unknown', reason: 'suspected-crash', dispatched: false },
  ]);
});

test('bounds retries to a fraction of first attempts', () => {
  const rig = fixtures.makeRig({ retryFraction: 0.1 });
  for (let index = 0; index < 200; index += 1) {
    rig.start({ fingerprint: `${index}` });
    rig.transport.attempts
      .slice(-1)
      .forEach(({ listener }) => listener.onEnd({ kind: 'answered', answer: UNAVAILABLE }));
    rig.transport.attempts
      .slice(-1)
      .forEach(({ listener }) => listener.onEnd({ kind: 'answered', answer: UNAVAILABLE }));
    rig.clock.advance(1);
  }
  expect(rig.transport.attempts.length).toBeGreaterThan(200);
  expect(rig.transport.attempts.length).toBeLessThanOrEqual(200 * 1.1 + 2);
});

test('reports no outcome for a cancelled call', () => {
  const rig = fixtures.makeRig();
  rig.start().cancel();
  rig.clock.advance(2_000);
  expect(attemptAt(rig, 0).cancelled).toBe(true);
  expect(rig.outcomes).toHaveLength(0);
});

test('sends no new work to a server that refuses because it is draining', () => {
  const rig = fixtures.makeRig();
  rig.start();
  endAttempt(rig, 0, { kind: 'refused', draining: true });
  expect(rig.balancer.avoidanceOf(attemptAt(rig, 0).server)).toBe('leaving');
});

// Guards against losses that are forgotten because a failing server did not run the request.
test('an answer that reports a failure does not clear a request', () => {
  const rig = fixtures.makeRig({ idempotent: false });
  rig.suspicion.recordLoss('fingerprint', 'server');
  rig.start();
  const answer = { status: 500, headers: [], body: new Uint8Array(), isFailure: true };
  endAttempt(rig, 0, { kind: 'answered', answer });
  expect(rig.suspicion.serversLost('fingerprint')).toEqual(['server']);
});

test('does not suspect a request whose answers have no marked end', () => {
  const rig = fixtures.makeRig();
  rig.start();
  const outcome: callTypes.AttemptOutcome = { kind: 'lost', reason: 'answer-unframed', detail: '' };
  endAttempt(rig, 0, outcome);
  endAttempt(rig, 1, outcome);
  endAttempt(rig, 2, outcome);
  expect(rig.suspicion.isSuspect('fingerprint')).toBe(false);
  expect(rig.outcomes).toMatchObject([{ kind: 'unknown', reason: 'answer-truncated' }]);
});

test('tries three further servers without a retry permit if nothing was sent', () => {
  const rig = fixtures.makeRig({ retryFraction: 0 }, 6);
  rig.start();
  [0, 1, 2, 3].forEach((index) => endAttempt(rig, index, { kind: 'not-sent', detail: 'refused' }));
  expect(rig.transport.attempts).toHaveLength(4);
  expect(rig.outcomes).toMatchObject([{ kind: 'not-run', reason: 'no-backend-server' }]);
});

test('does not retry on a server that only a newer table contains', () => {
  const rig = fixtures.makeRig({}, 1);
  rig.start();
  const newer = { ...fixtures.makeTable({}, 2), version: 2 };
  rig.balancer.update(newer, rig.table.services.get('status') as tableTypes.IServiceRow);
  endAttempt(rig, 0, LOST);
  expect(rig.transport.attempts).toHaveLength(1);
  expect(rig.outcomes).toMatchObject([{ kind: 'unknown' }]);
});

test('does not retry on a server that the newer table no longer contains', () => {
  const rig = fixtures.makeRig({}, 2);
  rig.start();
  const servers = rig.table.servers.get('status') ?? [];
  const tried = attemptAt(rig, 0).server;
  const rows = servers.filter(({ address }) => address === tried);
  const newer = { ...rig.table, version: 2, servers: new Map([['status', rows]]) };
  rig.balancer.update(newer, rig.table.services.get('status') as tableTypes.IServiceRow);
  endAttempt(rig, 0, LOST);
  expect(rig.transport.attempts).toHaveLength(1);
});

// Guards against an error in place of an answer that is on its way.
test('an attempt may be given up only if another one may follow', () => {
  const withoutPermit = fixtures.makeRig({ retryFraction: 0 });
  withoutPermit.start();
  expect(attemptAt(withoutPermit, 0).listener.mayAbandon()).toBe(false);
  const limited = fixtures.makeRig();
  limited.start({ maxAttempts: 1 });
  expect(attemptAt(limited, 0).listener.mayAbandon()).toBe(false);
  const rig = fixtures.makeRig();
  rig.start();
  expect(attemptAt(rig, 0).listener.mayAbandon()).toBe(true);
});

test('a call that was sent and may not be sent again is not abandoned', () => {
  const rig = fixtures.makeRig({ retryFraction: 0 });
  rig.start().abandon();
  expect(rig.outcomes).toEqual([]);
  endAttempt(rig, 0, { kind: 'answered', answer: ANSWER });
  expect(rig.outcomes).toMatchObject([{ kind: 'answered' }]);
});

// Guards against a stack overflow, which would end the process.
test('thousands of waiting calls end when the last servers are removed', () => {
  const rig = fixtures.makeRig();
  const deadlineMs = rig.clock.monotonicMs() + 1_000;
  for (let count = 0; count < 3_900; count += 1) rig.start({ deadlineMs });
  const attempts = [...rig.transport.attempts];
  const { services } = rig.table;
  const row = services.get('status') as tableTypes.IServiceRow;
  rig.balancer.update({ ...rig.table, servers: new Map() }, row, []);
  attempts.forEach(({ listener }) => listener.onEnd({ kind: 'not-sent', detail: 'refused' }));
  expect(rig.outcomes).toHaveLength(3_900);
});
