import * as fastCheck from 'fast-check';
import * as zod from 'zod';

import * as ruleDecoder from './RuleDecoder';

const SCHEMA = zod.array(ruleDecoder.SCHEMA);

const ODD = fastCheck.constantFrom(undefined, null, '', 0, -1, 1.5, true, [], {}, 'x', 2 ** 53);

function valueOr<T>(valid: fastCheck.Arbitrary<T>): fastCheck.Arbitrary<unknown> {
  return fastCheck.oneof({ weight: 24, arbitrary: valid }, { weight: 1, arbitrary: ODD });
}

const DURATION = fastCheck.constantFrom('0ms', '400ms', '1.5s', '-1s');
const PREFIX = fastCheck.constantFrom('/', '/a/', '/a\n/b/', '//', '/a', 'a/');
const PART = fastCheck.record({
  service: fastCheck.string(),
  weight: fastCheck.constantFrom(0, 1, -1),
});
const ACTION = fastCheck.record(
  {
    service: valueOr(fastCheck.string()),
    split: valueOr(fastCheck.array(PART, { maxLength: 2 })),
    timeout: valueOr(DURATION),
    maxAttempts: valueOr(fastCheck.integer({ min: 0, max: 4 })),
  },
  { requiredKeys: ['timeout', 'maxAttempts'] },
);
const RULE = fastCheck.record(
  {
    name: valueOr(fastCheck.string()),
    kind: valueOr(fastCheck.constantFrom('idempotent', 'non_idempotent', 'download', 'other')),
    aim: valueOr(DURATION),
    priority: valueOr(fastCheck.integer({ min: -1, max: 5 })),
    match: valueOr(fastCheck.record({ prefix: valueOr(PREFIX) })),
    action: valueOr(ACTION),
  },
  { requiredKeys: ['name', 'kind', 'aim', 'match', 'action'] },
);

// Guards against an invalid rule that is taken, or a valid one that is not, because it is usual.
test('rules are read as their schema says, whatever their form', () => {
  let accepted = 0;
  fastCheck.assert(
    fastCheck.property(RULE, (rule) => {
      const expected = SCHEMA.safeParse([rule]);
      const read = ruleDecoder.RULES.safeParse([rule]);
      expect(read.data).toEqual(expected.data);
      const pathsOf = (issues?: readonly zod.core.$ZodIssue[]) => issues?.map(({ path }) => path);
      expect(pathsOf(read.error?.issues)).toEqual(pathsOf(expected.error?.issues));
      accepted += read.success ? 1 : 0;
    }),
    { seed: 1, numRuns: 4_000 },
  );
  expect(accepted).toBeGreaterThan(100);
});
