import * as peer from '../peer/generated/peer';
import * as keyMessages from './KeyMessages';

// Guards against a process that ends because Node.js refuses to write an answer that a peer stored.
test.each([
  [0, []],
  [99, []],
  [101, []],
  [600, []],
  [1_000, []],
  [200, ['a']],
  [200, ['a', 'b\n']],
])('a stored answer with status %i and headers %j is dropped', (status, headers) => {
  const answer = { status, headers, body: Buffer.alloc(0) };
  const answered = { kind: 'answered', answer: undefined };
  const verdict = peer.ClaimVerdict.CLAIM_VERDICT_ANSWERED;
  expect(keyMessages.fromClaimReply({ verdict, answer })).toEqual({
    kind: 'completed',
    outcome: answered,
  });
  const outcome = peer.KeyOutcome.KEY_OUTCOME_ANSWERED;
  expect(keyMessages.fromOutcomeFields({ outcome, answer })).toEqual(answered);
});
