import * as manualClock from '../ManualClock';
import * as serverAvailability from './ServerAvailability';

function make(): {
  clock: manualClock.ManualClock;
  server: serverAvailability.ServerAvailability;
} {
  const clock = new manualClock.ManualClock();
  return { clock, server: new serverAvailability.ServerAvailability(clock) };
}

test('ignores a ready report that may predate the drain signal', () => {
  const { clock, server } = make();
  server.recordDraining();
  clock.advance(500);
  expect(server.recordReady()).toBe(false);
  expect(server.isLeaving).toBe(true);
});

test('a later ready report ends the draining', () => {
  const { clock, server } = make();
  server.recordDraining();
  clock.advance(2_000);
  expect(server.recordReady()).toBe(true);
  expect(server.isLeaving).toBe(false);
});

test('drains twice as long when the signal recurs', () => {
  const { clock, server } = make();
  server.recordDraining();
  clock.advance(60_000);
  expect(server.isLeaving).toBe(false);
  server.recordDraining();
  clock.advance(100_000);
  expect(server.isLeaving).toBe(true);
});

test('does not report a repeated signal as new', () => {
  const { clock, server } = make();
  expect(server.recordDraining()).toBe(true);
  clock.advance(1_000);
  expect(server.recordDraining()).toBe(false);
});

test('the list of VMs overrides ready reports of the server', () => {
  const { clock, server } = make();
  server.setListed('leaving');
  clock.advance(600_000);
  server.recordReady();
  expect(server.isLeaving).toBe(true);
});
