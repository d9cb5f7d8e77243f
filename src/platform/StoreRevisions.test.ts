import * as storeRevisions from './StoreRevisions';

// Guards against a change that is skipped because its revision was given out before.
test('any revision of a later era is newer', () => {
  const before = storeRevisions.toRevision({
    era: 1,
    storeRevision: storeRevisions.REVISION_LIMIT - 1,
  });
  const after = storeRevisions.toRevision({ era: 2, storeRevision: 1 });
  expect(after).toBeGreaterThan(before);
});

test.each([
  { era: 0, storeRevision: 0 },
  { era: 1, storeRevision: 41 },
  { era: storeRevisions.ERA_LIMIT - 1, storeRevision: storeRevisions.REVISION_LIMIT - 1 },
])('%j is found again from its revision', (state) => {
  const revision = storeRevisions.toRevision(state);
  expect(Number.isSafeInteger(revision)).toBe(true);
  expect(storeRevisions.toStoreState(revision)).toEqual(state);
});

// Guards against a number from outside that makes all later revisions look old.
test.each([
  { era: storeRevisions.ERA_LIMIT, storeRevision: 1 },
  { era: -1, storeRevision: 1 },
  { era: 0.5, storeRevision: 1 },
  { era: 1, storeRevision: storeRevisions.REVISION_LIMIT },
  { era: 1, storeRevision: Number.NaN },
])('%j is not valid', (state) => {
  expect(storeRevisions.isValid(state)).toBe(false);
});
