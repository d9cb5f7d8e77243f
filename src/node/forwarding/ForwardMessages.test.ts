import * as peer from '../peer/generated/peer';
import * as forwardMessages from './ForwardMessages';

function answerWith(status: number, headers: string[]) {
  const answer = { status, headers, body: Buffer.alloc(0) };
  return forwardMessages.fromReply({ answered: { answer, server: 's' }, refused: undefined });
}

// Guards against a process that ends because Node.js refuses to write what a peer has sent.
test.each([
  [0, []],
  [99, []],
  [101, []],
  [600, []],
  [999, []],
  [1_000, []],
  [200, ['a']],
  [200, ['a b', 'c']],
  [200, ['a', 'b\n']],
])('an answer with status %i and headers %j is taken as lost', (status, headers) => {
  expect(answerWith(status, headers)).toMatchObject({ kind: 'lost' });
});

test('an answer with any bytes that HTTP allows is passed on', () => {
  expect(answerWith(599, ['a', '\tb \xe9'])).toMatchObject({ kind: 'outcome' });
});

// Guards against a process that ends because the status of such a refusal is not a number.
test.each(['__proto__', 'constructor', 'reason-of-a-later-version', ''])(
  'a refusal with an unknown reason is passed on with a known one: %s',
  (reason) => {
    const refused = { reason, detail: 'd', dispatched: false, cannotHelp: false };
    const kinds = [true, false].map((notRun) => {
      const reply = peer.ForwardReply.fromPartial({ refused: { ...refused, notRun } });
      const result = forwardMessages.fromReply(reply);
      return result.kind === 'outcome' && result.outcome.kind !== 'answered'
        ? result.outcome.reason
        : undefined;
    });
    expect(kinds).toEqual(['no-backend-server', 'connection-lost']);
  },
);
