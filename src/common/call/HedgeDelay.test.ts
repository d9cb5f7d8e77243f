import * as hedgeDelay from './HedgeDelay';

function afterHedges(won: boolean, count: number): number {
  const delay = new hedgeDelay.HedgeDelay();
  delay.recordLatency(10);
  Array.from({ length: count }, () => delay.recordHedge(won));
  return delay.delayMs;
}

test('waits a multiple of the mean latency, which the first answer sets', () => {
  expect(afterHedges(true, 0)).toBe(30);
});

test('hedges earlier while hedges answer first, down to a bound', () => {
  expect(afterHedges(true, 1)).toBeLessThan(30);
  expect(afterHedges(true, 1_000)).toBe(25);
});

test('hedges later while hedges do not answer first, up to a bound', () => {
  expect(afterHedges(false, 1)).toBeGreaterThan(30);
  expect(afterHedges(false, 1_000)).toBe(50);
});
