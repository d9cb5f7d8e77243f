import * as manualClock from '../ManualClock';
import * as confirmationModule from './Confirmation';

// Guards against a follower that keeps using a stale directory after all its readers have failed.
test('a confirmation expires, and an older one does not replace a newer one', () => {
  const clock = new manualClock.ManualClock();
  const confirmation = new confirmationModule.Confirmation(clock);
  expect(confirmation.remainingMs).toBe(0);
  confirmation.confirm(100);
  expect(confirmation.remainingMs).toBe(confirmationModule.MAX_CONFIRMATION_AGE_MS - 100);
  clock.advance(1_000);
  confirmation.confirm(1_200);
  expect(confirmation.ageMs).toBe(1_100);
  clock.advance(400);
  expect(confirmation.remainingMs).toBe(0);
  confirmation.confirm();
  confirmation.reset();
  expect(confirmation.remainingMs).toBe(0);
});
