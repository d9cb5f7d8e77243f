import * as manualClock from '../ManualClock';
import * as serverAvailability from './ServerAvailability';

function make(): {
  clock: manualClock.ManualClock;
  server: serverAvailability.ServerAvailability;
} {
  const clock = new manualClock.ManualClock();
  return { clock, server: new serverAvailability.ServerAvailability(clock) };
}

test('ignores an answer that was written before the drain signal', () => {
  const { clock, server } = make();
  server.recordDraining();
  clock.advance(500);
  expect(server.recordReady()).toBe(false);
  expect(server.isLeaving).toBe(true);
});

test('returns after a later statement of readiness', () => {
  const { clock, server } = make();
  server.recordDraining();
  clock.advance(2_000);
  expect(server.recordReady()).toBe(true);
  expect(server.isLeaving).toBe(false);
});

test('stays away twice as long when the signal is seen again', () => {
  const { clock, server } = make();
  server.recordDraining();
  clock.advance(60_000);
  expect(server.isLeaving).toBe(false);
  server.recordDraining();
  clock.advance(100_000);
  expect(server.isLeaving).toBe(true);
});

test('reports a repeated signal as no news', () => {
  const { clock, server } = make();
  expect(server.recordDraining()).toBe(true);
  clock.advance(1_000);
  expect(server.recordDraining()).toBe(false);
});

test('believes the list whatever the server says', () => {
  const { clock, server } = make();
  server.setListed('leaving');
  clock.advance(600_000);
  server.recordReady();
  expect(server.isLeaving).toBe(true);
});
