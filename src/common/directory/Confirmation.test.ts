import * as manualClock from '../ManualClock';
import * as confirmationModule from './Confirmation';

// Guards against a follower that keeps using a stale directory after all its readers have failed.
test('a confirmation expires, and an older one does not replace a newer one', () => {
  const clock = new manualClock.ManualClock();
  const confirmation = new confirmationModule.Confirmation(clock, () => 2_000);
  expect(confirmation.remainingMs).toBe(0);
  confirmation.confirm(100);
  expect(confirmation.remainingMs).toBe(1_400);
  clock.advance(1_000);
  confirmation.confirm(1_200);
  expect(confirmation.ageMs).toBe(1_100);
  clock.advance(400);
  expect(confirmation.remainingMs).toBe(0);
  confirmation.confirm();
  confirmation.reset();
  expect(confirmation.remainingMs).toBe(0);
});

// Guards against followers that are notified of confirmations which tell them nothing new.
test('only a later confirmation is reported, and the limit follows a changed deadline', () => {
  const clock = new manualClock.ManualClock();
  let deadlineMs = 2_000;
  const confirmation = new confirmationModule.Confirmation(clock, () => deadlineMs);
  let reports = 0;
  confirmation.onAdvanced(() => {
    reports += 1;
  });
  confirmation.confirm(50);
  confirmation.confirm(80);
  expect(reports).toBe(1);
  deadlineMs = 4_000;
  expect(confirmation.remainingMs).toBe(2_950);
});
