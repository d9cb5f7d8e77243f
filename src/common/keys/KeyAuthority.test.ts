import * as manualClock from '../ManualClock';
import * as keyAuthority from './KeyAuthority';
import type * as keyTypes from './Types';

const LIFETIME_MS = keyAuthority.DEFAULT_LIMITS.lifetimeMs;
const answer = { status: 201, headers: ['seal', '1'], body: Buffer.from('done') };
const answered = { kind: 'answered', answer } as const;

function setUp(limits: Partial<keyTypes.IKeyLimits> = {}, incarnation = 1) {
  const clock = new manualClock.ManualClock();
  const authority = new keyAuthority.KeyAuthority(
    { address: `10.0.0.${incarnation}:7000`, incarnation },
    Buffer.alloc(32, incarnation),
    clock,
    { ...keyAuthority.DEFAULT_LIMITS, ...limits },
  );
  return { clock, authority };
}

function issueOne(authority: keyAuthority.KeyAuthority): string {
  const issued = authority.issue(1);
  if (!issued.ok) throw new Error(issued.error.kind);
  return issued.value[0] as string;
}

function transferParts(
  from: keyAuthority.KeyAuthority,
  successorIncarnation: number,
): keyTypes.IKeyTransferPart[] {
  const base = { part: 0, last: true, successorIncarnation };
  return from.transfers().map((transfer) => ({ ...transfer, ...base }));
}

test('only the first attempt is granted a key', () => {
  const { authority } = setUp();
  const key = issueOne(authority);
  expect(authority.claim(key, 'a', 'f').kind).toBe('granted');
  expect(authority.claim(key, 'b', 'f').kind).toBe('in-progress');
});

// The reply to a claim can be lost, and the repeated claim must not be refused.
test('an attempt may repeat its claim until it completes', () => {
  const { authority } = setUp();
  const key = issueOne(authority);
  authority.claim(key, 'a', 'f');
  expect(authority.claim(key, 'a', 'f').kind).toBe('granted');
  authority.complete(key, 'a', { kind: 'not-run' });
  expect(authority.claim(key, 'a', 'f').kind).toBe('completed');
});

test('a later claim gets the stored answer', () => {
  const { authority } = setUp();
  const key = issueOne(authority);
  authority.claim(key, 'a', 'f');
  expect(authority.complete(key, 'a', answered)).toBe(true);
  expect(authority.claim(key, 'b', 'f')).toEqual({ kind: 'completed', outcome: answered });
});

// A caller that was told "not run" must be able to rely on it, so the key is never granted again.
test('a key with the outcome not-run is not granted again', () => {
  const { authority } = setUp();
  const key = issueOne(authority);
  authority.claim(key, 'a', 'f');
  authority.complete(key, 'a', { kind: 'not-run' });
  const outcome = { kind: 'not-run' };
  expect(authority.claim(key, 'b', 'f')).toEqual({ kind: 'completed', outcome });
});

test('different content under the same key is detected in every state', () => {
  const { authority } = setUp();
  const key = issueOne(authority);
  authority.claim(key, 'a', 'f');
  expect(authority.claim(key, 'b', 'g').kind).toBe('different-content');
  authority.complete(key, 'a', answered);
  expect(authority.claim(key, 'b', 'g').kind).toBe('different-content');
});

test('only the attempt that holds the claim completes it, and only once', () => {
  const { authority } = setUp();
  const key = issueOne(authority);
  expect(authority.complete(key, 'a', answered)).toBe(false);
  authority.claim(key, 'a', 'f');
  expect(authority.complete(key, 'b', { kind: 'not-run' })).toBe(false);
  expect(authority.complete(key, 'a', { kind: 'unknown' })).toBe(true);
  expect(authority.complete(key, 'a', { kind: 'unknown' })).toBe(true);
  expect(authority.complete(key, 'a', answered)).toBe(false);
});

test('a forged key is invalid, and a key of another process is refused', () => {
  const { authority } = setUp();
  const key = issueOne(authority);
  const forged = `${key.slice(0, -1)}${key.endsWith('A') ? 'Q' : 'A'}`;
  expect(authority.claim(forged, 'a', 'f').kind).toBe('invalid-key');
  expect(authority.claim('x', 'a', 'f').kind).toBe('invalid-key');
  expect(setUp({}, 2).authority.claim(key, 'a', 'f').kind).toBe('not-issuer');
});

// If a record were removed before its key expires, a second attempt would be granted the key.
test('records are removed only after their keys expired', () => {
  const { authority, clock } = setUp();
  const key = issueOne(authority);
  authority.claim(key, 'a', 'f');
  clock.advance(LIFETIME_MS - 1);
  expect(authority.claim(key, 'b', 'f').kind).toBe('in-progress');
  clock.advance(1);
  expect(authority.claim(key, 'b', 'f').kind).toBe('expired-key');
  clock.advance(10_000);
  issueOne(authority);
  expect(authority.claimCount).toBe(0);
  expect(authority.claim(key, 'b', 'f').kind).toBe('expired-key');
});

test('an authority at its claim limit refuses new claims and new keys until keys expire', () => {
  const { authority, clock } = setUp({ maxClaims: 1 });
  const [first, second] = [issueOne(authority), issueOne(authority)];
  authority.claim(first, 'a', 'f');
  expect(authority.claim(second, 'b', 'f').kind).toBe('too-many-claims');
  expect(authority.claim(first, 'a', 'f').kind).toBe('granted');
  expect(authority.issue(1)).toEqual({ ok: false, error: { kind: 'too-many-claims' } });
  clock.advance(LIFETIME_MS + 10_000);
  expect(authority.issue(1).ok).toBe(true);
});

test('the outcome is kept when its answer is evicted from the cache', () => {
  const { authority } = setUp({ maxCachedAnswerBytes: 30 });
  const keys = [0, 1, 2, 3].map(() => issueOne(authority));
  keys.forEach((key) => authority.claim(key, 'a', 'f'));
  keys.forEach((key) => authority.complete(key, 'a', answered));
  const outcome = { kind: 'answered', answer: undefined };
  expect(authority.claim(keys[0] as string, 'b', 'f')).toEqual({ kind: 'completed', outcome });
});

test('an answer above the size limit is not stored', () => {
  const { authority } = setUp({ maxStoredAnswerBytes: 5 });
  const key = issueOne(authority);
  authority.claim(key, 'a', 'f');
  authority.complete(key, 'a', answered);
  const outcome = { kind: 'answered', answer: undefined };
  expect(authority.claim(key, 'b', 'f')).toEqual({ kind: 'completed', outcome });
});

test.each([0, -1, 1.5, 1_001, Number.NaN])('refuses to issue %p keys', (count) => {
  const found = count;
  expect(setUp().authority.issue(count)).toEqual({
    ok: false,
    error: { kind: 'invalid-count', found },
  });
});

test('a closed authority issues no keys, grants no claims and records no outcomes', () => {
  const { authority } = setUp();
  const key = issueOne(authority);
  authority.claim(key, 'a', 'f');
  expect(authority.transfers()).toEqual([]);
  authority.close();
  expect(authority.claim(key, 'a', 'f').kind).toBe('not-issuer');
  expect(authority.complete(key, 'a', answered)).toBe(false);
  expect(authority.issue(1)).toEqual({ ok: false, error: { kind: 'closed' } });
});

test('a successor continues with the records and the clock of the issuer', () => {
  const { authority, clock } = setUp();
  const successor = setUp({}, 2);
  const [claimed, completed, fresh] = [0, 1, 2].map(() => issueOne(authority)) as [
    string,
    string,
    string,
  ];
  authority.claim(claimed, 'a', 'f');
  authority.claim(completed, 'b', 'f');
  authority.complete(completed, 'b', answered);
  clock.advance(LIFETIME_MS - 10);
  authority.close();
  transferParts(authority, 2).forEach((part) =>
    expect(successor.authority.takeOver(part)).toBe(true),
  );
  const to = successor.authority;
  expect(to.claim(claimed, 'c', 'f').kind).toBe('in-progress');
  expect(to.complete(claimed, 'a', { kind: 'not-run' })).toBe(true);
  expect(to.claim(completed, 'c', 'f')).toEqual({ kind: 'completed', outcome: answered });
  expect(to.claim(fresh, 'd', 'f').kind).toBe('granted');
  successor.clock.advance(10);
  expect(to.claim(fresh, 'd', 'f').kind).toBe('expired-key');
});

// The acknowledgement of a hand-over can be lost, so the same part can be sent again much later.
test('a repeated hand-over does not replace newer records', () => {
  const { authority } = setUp();
  const { authority: to, clock } = setUp({}, 2);
  const key = issueOne(authority);
  authority.close();
  const [part] = transferParts(authority, 2) as [keyTypes.IKeyTransferPart];
  to.takeOver(part);
  to.claim(key, 'a', 'f');
  expect(to.takeOver(part)).toBe(true);
  expect(to.claim(key, 'b', 'f').kind).toBe('in-progress');
  clock.advance(2 * LIFETIME_MS);
  expect(to.takeOver(part)).toBe(true);
  expect(to.claim(key, 'b', 'f').kind).toBe('expired-key');
});

// A later process at the successor's address lacks the claims that the successor granted.
test('only the chosen process may take over, and only until it is closed', () => {
  const { authority } = setUp();
  issueOne(authority);
  authority.close();
  const { authority: to } = setUp({}, 2);
  transferParts(authority, 3).forEach((part) => expect(to.takeOver(part)).toBe(false));
  to.close();
  transferParts(authority, 2).forEach((part) => expect(to.takeOver(part)).toBe(false));
});

test('a successor grants claims only after all parts arrived in order', () => {
  const { authority } = setUp();
  const { authority: to } = setUp({}, 2);
  const keys = [issueOne(authority), issueOne(authority)];
  keys.forEach((key) => authority.claim(key, 'a', 'f'));
  authority.close();
  const [whole] = transferParts(authority, 2) as [keyTypes.IKeyTransferPart];
  const [record, other] = whole.records as [keyTypes.IKeyRecord, keyTypes.IKeyRecord];
  const first = { ...whole, records: [record], last: false };
  const second = { ...whole, records: [other], part: 1 };
  expect(to.takeOver(second)).toBe(false);
  expect(to.takeOver(first)).toBe(true);
  expect(to.takeOver(first)).toBe(true);
  expect(to.claim(keys[0] as string, 'b', 'f').kind).toBe('not-issuer');
  expect(to.takeOver(second)).toBe(true);
  keys.forEach((key) => expect(to.claim(key, 'b', 'f').kind).toBe('in-progress'));
});

test('a hand-over that exceeds the claim limit is refused', () => {
  const { authority } = setUp();
  const { authority: to } = setUp({ maxClaims: 1 }, 2);
  [0, 1].forEach(() => authority.claim(issueOne(authority), 'a', 'f'));
  authority.close();
  transferParts(authority, 2).forEach((part) => expect(to.takeOver(part)).toBe(false));
});

test('a second hand-over includes the keys of the first issuer', () => {
  const [first, second, third] = [1, 2, 3].map((n) => setUp({}, n).authority) as [
    keyAuthority.KeyAuthority,
    keyAuthority.KeyAuthority,
    keyAuthority.KeyAuthority,
  ];
  const key = issueOne(first);
  first.claim(key, 'a', 'f');
  first.close();
  transferParts(first, 2).forEach((part) => second.takeOver(part));
  second.close();
  transferParts(second, 3).forEach((part) => expect(third.takeOver(part)).toBe(true));
  expect(third.claim(key, 'b', 'f').kind).toBe('in-progress');
});

// Each graceful shutdown hands all ledgers over, so their number would otherwise grow without
// limit.
test('a hand-over omits issuers whose keys have all expired', () => {
  const { authority } = setUp();
  const { authority: to, clock } = setUp({}, 2);
  issueOne(authority);
  authority.close();
  transferParts(authority, 2).forEach((part) => to.takeOver(part));
  clock.advance(LIFETIME_MS);
  issueOne(to);
  to.close();
  expect(to.transfers().map(({ issuer }) => issuer.incarnation)).toEqual([2]);
});

// The answers of several predecessors that stop together could otherwise exhaust the memory.
test('a hand-over keeps outcomes but drops answers that exceed the cache size', () => {
  const { authority } = setUp();
  const { authority: to } = setUp({ maxCachedAnswerBytes: 10 }, 2);
  const keys = [issueOne(authority), issueOne(authority)] as [string, string];
  keys.forEach((key) => authority.claim(key, 'a', 'f'));
  keys.forEach((key) => authority.complete(key, 'a', answered));
  authority.close();
  transferParts(authority, 2).forEach((part) => expect(to.takeOver(part)).toBe(true));
  const [first, second] = keys.map((key) => to.claim(key, 'b', 'f'));
  expect(first).toEqual({ kind: 'completed', outcome: answered });
  const outcome = { kind: 'answered', answer: undefined };
  expect(second).toEqual({ kind: 'completed', outcome });
});
