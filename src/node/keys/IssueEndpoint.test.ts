import * as issueEndpoint from './IssueEndpoint';
import * as keyTestRig from './testing/KeyTestRig';

function setUp() {
  return new keyTestRig.KeyTestRig().start(1).authority;
}

test.each([
  [undefined, 1],
  ['1', 1],
  ['1000', 1_000],
])('count %p gives %p different keys', (count, expected) => {
  const reply = issueEndpoint.issueKeys(setUp(), count);
  expect(reply.kind === 'issued' && new Set(reply.keys).size).toBe(expected);
});

test.each(['0', '1001', '-1', '1.5', '', ' 1', 'many', '1e2'])('refuses count %p', (count) => {
  const reply = issueEndpoint.issueKeys(setUp(), count);
  expect(reply).toMatchObject({ kind: 'not-run', reason: 'malformed-request' });
});

test('issues no keys after the hand-over has begun', () => {
  const authority = setUp();
  authority.close();
  const reply = issueEndpoint.issueKeys(authority, '1');
  expect(reply).toMatchObject({ kind: 'not-run', reason: 'shutting-down' });
});
