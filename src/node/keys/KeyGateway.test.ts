import * as requestKeyCodec from '../../common/keys/RequestKeyCodec';
import * as keyTestRig from './testing/KeyTestRig';

const answer = { status: 200, headers: ['a', 'b'], body: Buffer.from('x') };

function setUp() {
  const rig = new keyTestRig.KeyTestRig();
  const issuer = rig.start(1);
  const daemon = rig.start(2);
  const other = rig.start(3);
  const issued = issuer.authority.issue(1);
  if (!issued.ok) throw new Error(issued.error.kind);
  const key = issued.value[0] as string;
  const request = { key, service: 'lodgement', fingerprint: 'f', deadlineMs: 10_000 };
  return { rig, issuer, daemon, other, key, request };
}

test('a claim is sent to the issuer, and the issuer itself claims without a message', async () => {
  const { rig, issuer, daemon, request } = setUp();
  const remote = await rig.resolve(daemon.gateway.claim(request));
  expect(remote.kind).toBe('granted');
  const local = await rig.resolve(issuer.gateway.claim(request));
  expect(local).toMatchObject({ kind: 'unknown', reason: 'attempt-in-progress' });
  expect(rig.contacted).toEqual([issuer.address]);
});

test('a later request gets the stored answer of the first', async () => {
  const { rig, daemon, other, request } = setUp();
  const claimed = await rig.resolve(daemon.gateway.claim(request));
  if (claimed.kind !== 'granted') throw new Error(claimed.kind);
  const outcome = { kind: 'answered', answer } as const;
  expect(await rig.resolve(daemon.gateway.complete(claimed.claim, outcome))).toBe(true);
  expect(await rig.resolve(other.gateway.claim(request))).toEqual({ kind: 'answered', answer });
});

// Guards against reuse of a key across services, which the fingerprint of a request does not cover.
test('a key is not valid for the same content at another service', async () => {
  const { rig, daemon, request } = setUp();
  await rig.resolve(daemon.gateway.claim(request));
  const elsewhere = await rig.resolve(daemon.gateway.claim({ ...request, service: 'other' }));
  expect(elsewhere).toMatchObject({ kind: 'not-run', reason: 'request-key-reused' });
});

test('a claim whose reply is lost is granted to the same attempt', async () => {
  const { rig, daemon, request } = setUp();
  const deliveries: keyTestRig.Delivery[] = ['reply-lost', 'request-lost'];
  rig.deliver = () => deliveries.shift() ?? 'delivered';
  expect((await rig.resolve(daemon.gateway.claim(request))).kind).toBe('granted');
});

test('a claim at an unreachable issuer ends as unknown and does not stay in progress', async () => {
  const { rig, daemon, other, request } = setUp();
  rig.deliver = (method) => (method === 'claimKey' ? 'reply-lost' : 'delivered');
  const claimed = await rig.resolve(daemon.gateway.claim(request));
  const unavailable = { kind: 'unknown', reason: 'key-issuer-unavailable', dispatched: false };
  expect(claimed).toMatchObject(unavailable);
  await rig.resolve(daemon.gateway.waitForCompletions());
  rig.deliver = () => 'delivered';
  const later = await rig.resolve(other.gateway.claim(request));
  expect(later).toMatchObject({ kind: 'not-run', reason: 'already-refused' });
});

test('a claim ends before the deadline of the caller', async () => {
  const { rig, daemon, request } = setUp();
  rig.deliver = () => 'request-lost';
  const deadlineMs = rig.clock.monotonicMs() + 60;
  await rig.resolve(daemon.gateway.claim({ ...request, deadlineMs }));
  expect(rig.contacted.length).toBeLessThanOrEqual(2 + 7);
  expect(rig.contacted.length).toBeGreaterThan(0);
});

test('a claim ends as unknown if a new process runs at the address of the issuer', async () => {
  const { rig, daemon, request } = setUp();
  rig.start(1, 99);
  const claimed = await rig.resolve(daemon.gateway.claim(request));
  expect(claimed).toMatchObject({ kind: 'unknown', reason: 'key-issuer-unavailable' });
});

// Guards against forged keys that make a daemon connect to arbitrary addresses.
test('an issuer that is not a known daemon is not contacted', async () => {
  const { rig, daemon, request } = setUp();
  const content = { issuer: '192.168.0.9:22', incarnation: 1, sequence: 0, issuedAtMs: 0 };
  const codec = requestKeyCodec.RequestKeyCodec;
  const forged = codec.encode(codec.sign(content, Buffer.alloc(32)));
  const claimed = await rig.resolve(daemon.gateway.claim({ ...request, key: forged }));
  expect(claimed).toMatchObject({ kind: 'unknown', reason: 'key-issuer-unavailable' });
  expect(rig.contacted).toEqual([]);
});

test('malformed key text is refused as not run without a message to a peer', async () => {
  const { rig, daemon, request } = setUp();
  const claimed = await rig.resolve(daemon.gateway.claim({ ...request, key: 'my-key' }));
  expect(claimed).toMatchObject({ kind: 'not-run', reason: 'request-key-invalid' });
  expect(rig.contacted).toEqual([]);
});

test('a lost completion is retried a bounded number of times', async () => {
  const { rig, daemon, request } = setUp();
  const claimed = await rig.resolve(daemon.gateway.claim(request));
  if (claimed.kind !== 'granted') throw new Error(claimed.kind);
  let lossCount = 3;
  rig.deliver = () => {
    lossCount -= 1;
    return lossCount >= 0 ? 'request-lost' : 'delivered';
  };
  const outcome = { kind: 'not-run' } as const;
  expect(await rig.resolve(daemon.gateway.complete(claimed.claim, outcome))).toBe(true);
  rig.deliver = () => 'request-lost';
  expect(await rig.resolve(daemon.gateway.complete(claimed.claim, outcome))).toBe(false);
});

// Guards against a false "not run" while another daemon runs the same request.
test('a refusal reports not run only if it is granted the claim', async () => {
  const { rig, daemon, other, request } = setUp();
  const overloaded = { kind: 'not-run', reason: 'overloaded', detail: '' } as const;
  const second = { ...request };
  await rig.resolve(daemon.gateway.claim(request));
  const refused = await rig.resolve(other.gateway.refuse(second, overloaded));
  expect(refused).toMatchObject({ kind: 'unknown', reason: 'attempt-in-progress' });
});

test('a refusal that is granted the claim completes the key', async () => {
  const { rig, daemon, other, request } = setUp();
  const overloaded = { kind: 'not-run', reason: 'overloaded', detail: '' } as const;
  expect(await rig.resolve(daemon.gateway.refuse(request, overloaded))).toEqual(overloaded);
  await rig.resolve(daemon.gateway.waitForCompletions());
  const later = await rig.resolve(other.gateway.claim(request));
  expect(later).toMatchObject({ kind: 'not-run', reason: 'already-refused' });
});
