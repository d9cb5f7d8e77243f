import type * as callTypes from '../../common/call/Types';
import * as manualClock from '../../common/ManualClock';
import * as helperChoice from '../../common/reach/HelperChoice';
import * as seededRandom from '../../common/SeededRandom';
import * as fixtures from '../../common/testing/Fixtures';
import type * as tableTypes from '../../common/table/Types';
import * as forwardedCall from './ForwardedCall';
import * as forwardMessages from './ForwardMessages';
import type * as forwardTypes from './Types';

const ANSWERED = {
  kind: 'answered' as const,
  answer: { status: 200, headers: ['a', 'b'], body: Buffer.from('x') },
  server: '10.0.0.1:80',
};

let clock: manualClock.ManualClock;
/** Replies of the peers that are asked, in order; without an entry a peer stays silent. */
let replies: forwardTypes.ForwardTransmission[];
let asked: string[];
let cancelled: string[];
let outcomes: callTypes.CallOutcome[];

beforeEach(() => {
  clock = new manualClock.ManualClock();
  replies = [];
  asked = [];
  cancelled = [];
  outcomes = [];
});

function begin(
  idempotent: boolean,
  maxAttempts?: number,
  hasPermit = true,
): forwardedCall.ForwardedCall {
  const table = fixtures.makeTable({ idempotent });
  const random = new seededRandom.SeededRandom(1);
  const peers = Array.from({ length: 9 }, (_, index) => ({
    address: `10.0.0.${index}:1`,
    failureDomain: 'a',
  }));
  const own = { address: '10.0.1.1:1', failureDomain: 'a' };
  const call = new forwardedCall.ForwardedCall(
    {
      requestId: 'r',
      service: table.services.get('status') as tableTypes.IServiceRow,
      table,
      ...{ method: 'POST', path: '/', headers: [], body: new Uint8Array(), depth: 0 },
      ...{ retriesSpent: 0, fingerprint: '', deadlineMs: 1_000, maxAttempts },
    },
    {
      helpers: new helperChoice.HelperChoice(own, () => peers, clock, random),
      peers: {
        forward: (address, _request, onReply) => {
          asked.push(address);
          const transmission = replies[asked.length - 1];
          if (transmission !== undefined) onReply(transmission);
          return { cancel: () => cancelled.push(address) };
        },
      },
      observer: { onForwarded: () => undefined },
      takeRetryPermit: () => hasPermit,
      clock,
    },
    (outcome) => outcomes.push(outcome),
  );
  call.begin();
  return call;
}

function reply(outcome: callTypes.CallOutcome): forwardTypes.ForwardTransmission {
  return { kind: 'reply', reply: forwardMessages.toReply(outcome) };
}

const CANNOT_HELP = { kind: 'reply', reply: forwardMessages.toCannotHelp('out of reach') } as const;
const NOT_SENT = { kind: 'not-sent', detail: 'no connection' } as const;
const LOST = { kind: 'lost', detail: 'connection closed' } as const;

test.each([true, false])('the answer of a peer is passed on (idempotent %s)', (idempotent) => {
  replies = [reply(ANSWERED)];
  begin(idempotent);
  expect(outcomes).toEqual([ANSWERED]);
});

// Guards against callers who fail because the first peer is cut off as well.
test.each([true, false])(
  'a peer that has not run the call is followed by another (idempotent %s)',
  (idempotent) => {
    replies = [CANNOT_HELP, NOT_SENT, reply(ANSWERED)];
    begin(idempotent);
    expect(outcomes).toEqual([ANSWERED]);
    expect(new Set(asked).size).toBe(3);
  },
);

// Guards against a request that runs twice because the reply of a peer was lost.
test('a call that must not be repeated is unknown when its peer may have run it', () => {
  replies = [LOST, reply(ANSWERED)];
  begin(false);
  expect(asked).toHaveLength(1);
  expect(outcomes).toMatchObject([{ kind: 'unknown', reason: 'connection-lost' }]);
});

test('a call that may be repeated goes to another peer when the reply was lost', () => {
  replies = [LOST, reply(ANSWERED)];
  begin(true);
  expect(outcomes).toEqual([ANSWERED]);
});

// Guards against an answer with such a status that a peer of another version took from its server.
test.each([0, 99, 600, 999])('an answer of a peer with status %i is not passed on', (status) => {
  const answer = { status, headers: [], body: Buffer.from('x') };
  replies = [reply({ ...ANSWERED, answer }), reply(ANSWERED)];
  begin(true);
  expect(outcomes).toEqual([ANSWERED]);
  asked = [];
  begin(false);
  expect(asked).toHaveLength(1);
  expect(outcomes[1]).toMatchObject({ kind: 'unknown', reason: 'connection-lost' });
});

// Guards against repeats beyond the fleet's allowance, and beyond the servers that a route allows.
test.each([
  ['attempts are limited', 2, true],
  ['no permit is left', undefined, false],
] as const)('a call goes to no other peer after a loss if %s', (_name, maxAttempts, hasPermit) => {
  replies = [LOST, reply(ANSWERED)];
  begin(true, maxAttempts, hasPermit);
  expect(asked).toHaveLength(1);
  expect(outcomes).toMatchObject([{ kind: 'unknown', reason: 'connection-lost' }]);
});

// Guards against "not run" for a call that an earlier peer may have run.
test('a call that an earlier peer may have run is unknown if no other can help', () => {
  replies = [LOST, CANNOT_HELP, CANNOT_HELP, CANNOT_HELP];
  begin(true);
  expect(outcomes).toMatchObject([{ kind: 'unknown' }]);
});

// Guards against "not run" from a peer for a call that an earlier peer may have run.
test('a refusal by a second peer does not hide that the first may have run the call', () => {
  const outcome = { kind: 'not-run', reason: 'overloaded', detail: 'busy' } as const;
  replies = [LOST, reply(outcome)];
  begin(true);
  expect(outcomes).toMatchObject([{ kind: 'unknown', reason: 'connection-lost' }]);
});

test('a call that no peer can run is refused as not run, after a few peers', () => {
  replies = Array.from({ length: 9 }, () => CANNOT_HELP);
  begin(true);
  expect(asked).toHaveLength(4);
  expect(outcomes).toMatchObject([{ kind: 'not-run', retryAfterMs: 100 }]);
});

test('a refusal of the servers is passed on with its retry delay', () => {
  const refused: callTypes.CallOutcome = {
    kind: 'not-run',
    reason: 'overloaded',
    detail: 'limits',
    retryAfterMs: 700,
  };
  replies = [reply(refused)];
  begin(false);
  expect(outcomes).toEqual([refused]);
});

test('a silent peer ends the call at its deadline', () => {
  begin(false);
  clock.advance(1_000);
  expect(outcomes).toMatchObject([{ kind: 'unknown', reason: 'deadline-exceeded' }]);
  expect(cancelled).toEqual(asked);
});

// Guards against servers that work for callers who have gone.
test('a cancelled call is cancelled at its peer, without an outcome', () => {
  begin(true).cancel();
  clock.advance(2_000);
  expect(cancelled).toEqual(asked);
  expect(outcomes).toEqual([]);
});
