import * as manualClock from '../ManualClock';
import * as rateMeter from './RateMeter';

// Guards against a rate that is far off in the first seconds, or after calls have ended.
test('the rate follows the events within seconds', () => {
  const clock = new manualClock.ManualClock();
  const meter = new rateMeter.RateMeter(clock);
  const play = (perSecond: number, seconds: number) => {
    for (let event = 0; event < perSecond * seconds; event += 1) {
      clock.advance(1_000 / perSecond);
      meter.record();
    }
  };
  expect(meter.perSecond).toBe(0);
  play(4, 3);
  expect(meter.perSecond).toBeCloseTo(4, 0);
  play(20, 20);
  expect(meter.perSecond).toBeCloseTo(20, 0);
  clock.advance(30_000);
  expect(meter.perSecond).toBeLessThan(0.1);
});
