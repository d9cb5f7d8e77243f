import * as manualClock from './ManualClock';

test('fires timers in due order', () => {
  const clock = new manualClock.ManualClock();
  const fired: string[] = [];
  clock.setTimer(20, () => fired.push('late'));
  clock.setTimer(10, () => fired.push('early'));
  clock.advance(30);
  expect(fired).toEqual(['early', 'late']);
});

test('does not fire a disposed timer', () => {
  const clock = new manualClock.ManualClock();
  let fired = false;
  clock
    .setTimer(10, () => {
      fired = true;
    })
    .dispose();
  clock.advance(30);
  expect(fired).toBe(false);
});
