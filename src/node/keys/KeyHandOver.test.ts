import * as requestKeyCodec from '../../common/keys/RequestKeyCodec';
import * as peer from '../peer/generated/peer';
import * as keyMessages from './KeyMessages';
import * as keyTestRig from './testing/KeyTestRig';

const GRPC_LIMIT_BYTES = 4 * 1_024 * 1_024;
const TIME_LIMIT_MS = 5_000;

function setUp() {
  const rig = new keyTestRig.KeyTestRig();
  const [issuer, successor, daemon] = [rig.start(1), rig.start(2), rig.start(3)];
  const issued = issuer.authority.issue(3);
  if (!issued.ok) throw new Error(issued.error.kind);
  const requests = issued.value.map((key) => ({
    key,
    service: 'lodgement',
    fingerprint: 'f',
    deadlineMs: 1e9,
  }));
  return { rig, issuer, successor, daemon, requests };
}

test('claims and completions reach the successor after the hand-over', async () => {
  const { rig, issuer, successor, daemon, requests } = setUp();
  const [before, after] = requests as [(typeof requests)[0], (typeof requests)[0]];
  const claimed = await rig.resolve(daemon.gateway.claim(before));
  if (claimed.kind !== 'granted') throw new Error(claimed.kind);
  const result = await rig.resolve(issuer.handOver.run(successor, TIME_LIMIT_MS));
  const issuers = [requestKeyCodec.RequestKeyCodec.encodeIssuer(issuer)];
  expect(result).toEqual({ kind: 'handed-over', successor: successor.address, issuers });
  rig.moved.set(issuers[0] as string, successor.address);
  rig.stop(issuer.address);
  expect((await rig.resolve(daemon.gateway.claim(after))).kind).toBe('granted');
  const outcome = { kind: 'not-run' } as const;
  expect(await rig.resolve(daemon.gateway.complete(claimed.claim, outcome))).toBe(true);
  const again = await rig.resolve(successor.gateway.claim(before));
  expect(again).toMatchObject({ kind: 'not-run', reason: 'already-refused' });
});

// Guards against failures of requests that arrive during the hand-over of a graceful shutdown.
test('a claim made during the hand-over is granted by the successor', async () => {
  const { rig, issuer, successor, daemon, requests } = setUp();
  issuer.authority.close();
  const claiming = daemon.gateway.claim(requests[0] as (typeof requests)[0]);
  const result = await rig.resolve(issuer.handOver.run(successor, TIME_LIMIT_MS));
  rig.moved.set(result.issuers[0] as string, successor.address);
  expect((await rig.resolve(claiming)).kind).toBe('granted');
});

test('an unacknowledged part is resent to the same successor', async () => {
  const { rig, issuer, successor } = setUp();
  const deliveries: keyTestRig.Delivery[] = ['reply-lost', 'request-lost', 'reply-lost'];
  rig.deliver = () => deliveries.shift() ?? 'delivered';
  const result = await rig.resolve(issuer.handOver.run(successor, TIME_LIMIT_MS));
  expect(result.kind).toBe('handed-over');
  expect(new Set(rig.contacted)).toEqual(new Set([successor.address]));
});

// Guards against a second grant: the successor may have granted claims before it restarted.
test('a restarted successor refuses the keys, and no other daemon is contacted', async () => {
  const { rig, issuer, successor } = setUp();
  rig.start(2, 22);
  const result = await rig.resolve(issuer.handOver.run(successor, TIME_LIMIT_MS));
  expect(result).toMatchObject({ kind: 'failed', successor: successor.address });
  expect(new Set(rig.contacted)).toEqual(new Set([successor.address]));
});

test('an unreachable successor ends the hand-over at the time limit', async () => {
  const { rig, issuer, successor } = setUp();
  rig.stop(successor.address);
  const result = await rig.resolve(issuer.handOver.run(successor, TIME_LIMIT_MS));
  expect(result.kind).toBe('failed');
  expect(rig.clock.monotonicMs()).toBeLessThanOrEqual(TIME_LIMIT_MS + 50);
});

// Guards against parts above the gRPC limit of 4 MB: a refused part ends the hand-over.
test('parts stay under the message limit with large answers', async () => {
  const { rig, issuer, successor } = setUp();
  const issued = issuer.authority.issue(12);
  if (!issued.ok) throw new Error(issued.error.kind);
  const answer = { status: 200, headers: [], body: Buffer.alloc(1_000_000, 1) };
  issued.value.forEach((key) => {
    issuer.authority.claim(key, 'attempt', 'f');
    issuer.authority.complete(key, 'attempt', { kind: 'answered', answer });
  });
  const sizes: number[] = [];
  const original = peer.HandOverKeysRequest.encode.bind(peer.HandOverKeysRequest);
  const spy = jest.spyOn(peer.HandOverKeysRequest, 'encode').mockImplementation((...args) => {
    const writer = original(...args);
    sizes.push(writer.finish().length);
    return original(...args);
  });
  const result = await rig.resolve(issuer.handOver.run(successor, TIME_LIMIT_MS));
  spy.mockRestore();
  expect(result.kind).toBe('handed-over');
  expect(sizes.length).toBeGreaterThan(3);
  expect(Math.max(...sizes)).toBeLessThan(GRPC_LIMIT_BYTES);
  const verdict = successor.authority.claim(issued.value[11] as string, 'later', 'f');
  if (verdict.kind !== 'completed' || verdict.outcome.kind !== 'answered') throw new Error();
  expect(answer.body.equals(verdict.outcome.answer?.body ?? Buffer.alloc(0))).toBe(true);
});

test('a malformed part is refused as a whole', () => {
  const { issuer } = setUp();
  issuer.authority.close();
  const [transfer] = issuer.authority.transfers();
  if (transfer === undefined) throw new Error('nothing to transfer');
  const part = { ...transfer, part: 0, last: true, successorIncarnation: 2 };
  const request = keyMessages.toHandOverRequest(part);
  expect(keyMessages.fromHandOverRequest(request)).toEqual(part);
  expect(keyMessages.fromHandOverRequest({ ...request, issuer: 'x' })).toBeUndefined();
  const record = {
    key: 'x',
    attempt: 'a',
    fingerprint: 'f',
    outcome: peer.KeyOutcome.UNRECOGNIZED,
  };
  const records = [{ ...record, answer: undefined }];
  expect(keyMessages.fromHandOverRequest({ ...request, records })).toBeUndefined();
});
