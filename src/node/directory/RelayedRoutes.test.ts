import * as fastCheck from 'fast-check';
import * as zod from 'zod';

import * as relayedRoutes from './RelayedRoutes';

const SCHEMA = zod.array(relayedRoutes.SCHEMA);

const ODD = fastCheck.constantFrom(undefined, null, '', -1, 1.5, true, [], {}, 2 ** 53, Infinity);

function valueOr<T>(valid: fastCheck.Arbitrary<T>): fastCheck.Arbitrary<unknown> {
  return fastCheck.oneof({ weight: 24, arbitrary: valid }, { weight: 1, arbitrary: ODD });
}

const AMOUNT = fastCheck.constantFrom(0, 1, 2.5, 1_000);
const TARGET = fastCheck.record({
  service: valueOr(fastCheck.string()),
  weight: valueOr(AMOUNT),
  added: fastCheck.string(),
});
const ROUTE = fastCheck.record(
  {
    name: valueOr(fastCheck.string()),
    host: valueOr(fastCheck.string()),
    prefix: valueOr(fastCheck.string()),
    targets: valueOr(fastCheck.array(TARGET, { maxLength: 2 })),
    idempotent: valueOr(fastCheck.boolean()),
    hasLargeAnswers: valueOr(fastCheck.boolean()),
    priority: valueOr(fastCheck.integer({ min: -1, max: 5 })),
    timeoutMs: valueOr(AMOUNT),
    objectiveMs: valueOr(AMOUNT),
    maxAttempts: valueOr(fastCheck.integer({ min: 0, max: 4 })),
    added: fastCheck.string(),
  },
  {
    requiredKeys: [
      'name',
      'host',
      'prefix',
      'targets',
      'idempotent',
      'timeoutMs',
      'objectiveMs',
      'maxAttempts',
    ],
  },
);

// Guards against an invalid route of a peer that is taken, or a valid one that is not.
test('routes of a peer are read as their schema says, whatever their form', () => {
  let accepted = 0;
  fastCheck.assert(
    fastCheck.property(ROUTE, (route) => {
      const expected = SCHEMA.safeParse([route]);
      const read = relayedRoutes.ROUTES.safeParse([route]);
      expect(read.data).toEqual(expected.data);
      expect(read.success).toBe(expected.success);
      accepted += read.success ? 1 : 0;
    }),
    { seed: 1, numRuns: 2_000 },
  );
  expect(accepted).toBeGreaterThan(100);
});

// Guards against a route of a peer that matches requests and has no target for them.
test.each([
  ['one target', [0]],
  ['two targets', [0, 0]],
])('a route of a peer with %s and no weight is not usable', (_case, weights) => {
  const route = {
    name: 'r',
    host: 'h',
    prefix: '/',
    targets: weights.map((weight, index) => ({ service: `${index}`, weight })),
    idempotent: true,
    timeoutMs: 1,
    objectiveMs: 1,
    maxAttempts: 1,
  };
  expect(relayedRoutes.ROUTES.safeParse([route]).success).toBe(false);
});
