import * as secondSendDelay from './SecondSendDelay';

const FIRST = { idleServiceTimeMs: 120, relativeDuration: 1, remainingMs: 300 };

// Guards against second sends of calls that will be answered in time.
test('a first attempt that is expected in time gets no second', () => {
  expect(secondSendDelay.delayOf(FIRST)).toBeUndefined();
  expect(secondSendDelay.delayOf({ ...FIRST, relativeDuration: 2.4 })).toBeUndefined();
});

// Guards against a call that waits for a server which has become slow after its report.
test('a first attempt that was expected in time gets a second once it is overdue', () => {
  expect(secondSendDelay.delayOf({ ...FIRST, remainingMs: 400 })).toBe(180);
});

// Guards against waiting although the report shows that the server is slow.
test('a first attempt on a slow server gets a second at once', () => {
  expect(secondSendDelay.delayOf({ ...FIRST, relativeDuration: 5 })).toBeLessThan(10);
});

// Guards against a call that waits for a server of which nothing is known.
test('a first attempt without a report gets a second once it is overdue', () => {
  const delayMs = secondSendDelay.delayOf({
    ...FIRST,
    relativeDuration: undefined,
    remainingMs: 400,
  });
  expect(delayMs).toBe(180);
});

// Guards against second sends that only add load, since they end after the objective as well.
test('no second attempt starts if it cannot answer before the objective', () => {
  const slow = { ...FIRST, relativeDuration: 5 };
  expect(secondSendDelay.delayOf({ ...slow, remainingMs: 140 })).toBeUndefined();
  expect(secondSendDelay.delayOf({ ...slow, relativeDuration: undefined })).toBeUndefined();
});
