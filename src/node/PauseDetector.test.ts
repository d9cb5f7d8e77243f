import * as manualClock from '../common/ManualClock';
import * as pauseDetector from './PauseDetector';

function build() {
  const clock = new manualClock.ManualClock();
  const gaps: number[] = [];
  const detector = new pauseDetector.PauseDetector(clock, (gapMs) => gaps.push(gapMs));
  detector.start();
  return { clock, gaps, detector };
}

test('reports no pause while the process runs', () => {
  const { clock, gaps } = build();
  clock.advance(60_000);
  expect(gaps).toEqual([]);
});

test('the timer reports a pause once', () => {
  const { clock, gaps } = build();
  clock.advance(250);
  clock.pause(3_000);
  clock.advance(1_000);
  expect(gaps).toEqual([3_000]);
});

// Guards against a request that is routed by stale state from before the pause.
test('a check reports a pause before the timer fires', () => {
  const { clock, gaps, detector } = build();
  clock.pause(1_001);
  detector.check();
  expect(gaps).toEqual([1_001]);
  clock.advance(0);
  expect(gaps).toEqual([1_001]);
});

test('a disposed detector reports no pause', () => {
  const { clock, gaps, detector } = build();
  detector.dispose();
  clock.pause(5_000);
  clock.advance(1_000);
  expect(gaps).toEqual([]);
});

// Guards against stale state after a VM was suspended, which the monotonic clock does not count.
test('a wall clock that runs ahead of the monotonic clock counts as a pause', () => {
  const clock = new manualClock.ManualClock();
  let aheadMs = 0;
  const gaps: number[] = [];
  const skewed = {
    monotonicMs: () => clock.monotonicMs(),
    wallTime: () => new Date(clock.wallTime().getTime() + aheadMs),
    setTimer: clock.setTimer.bind(clock),
  };
  const detector = new pauseDetector.PauseDetector(skewed, (gapMs) => gaps.push(gapMs));
  detector.start();
  clock.advance(2_000);
  aheadMs = 3_000;
  clock.advance(250);
  expect(gaps).toEqual([3_250]);
  aheadMs = -3_000;
  clock.advance(1_000);
  expect(gaps).toEqual([3_250]);
});

test('a check that comes late is reported as a delay, one on time is not', () => {
  const clock = new manualClock.ManualClock();
  const delays: number[] = [];
  const detector = new pauseDetector.PauseDetector(
    clock,
    () => undefined,
    (delayMs) => delays.push(delayMs),
  );
  detector.start();
  clock.advance(1_000);
  expect(delays).toEqual([]);
  clock.pause(550);
  clock.advance(0);
  expect(delays).toEqual([300]);
});
