import * as seededRandom from './SeededRandom';
import * as heapClock from './HeapClock';

test('fires timers by due time, then in the order of creation', () => {
  const clock = new heapClock.HeapClock();
  const random = new seededRandom.SeededRandom(1);
  const fired: (readonly [number, number])[] = [];
  Array.from({ length: 500 }, (_item, index) => index).forEach((index) => {
    const dueMs = random.nextInteger(50);
    clock.setTimer(dueMs, () => fired.push([dueMs, index]));
  });
  clock.runUntil(50);
  const sorted = [...fired].sort((left, right) => left[0] - right[0] || left[1] - right[1]);
  expect(fired).toHaveLength(500);
  expect(fired).toEqual(sorted);
});

test('does not fire a disposed timer, and fires timers set by timers', () => {
  const clock = new heapClock.HeapClock();
  const fired: string[] = [];
  clock.setTimer(1, () => fired.push('disposed')).dispose();
  clock.setTimer(2, () => clock.setTimer(3, () => fired.push(`at ${clock.monotonicMs()}`)));
  clock.runUntil(10);
  expect(fired).toEqual(['at 5']);
  expect(clock.monotonicMs()).toBe(10);
});
