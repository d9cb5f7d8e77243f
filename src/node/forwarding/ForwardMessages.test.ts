import * as forwardMessages from './ForwardMessages';

function answerWith(status: number, headers: string[]) {
  const answer = { status, headers, body: Buffer.alloc(0) };
  return forwardMessages.fromReply({ answered: { answer, server: 's' }, refused: undefined });
}

// Guards against a process that ends because Node.js refuses to write what a peer has sent.
test.each([
  [0, []],
  [101, []],
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
