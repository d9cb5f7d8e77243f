import * as concurrencyLimit from './ConcurrencyLimit';

const FREE = { inFlight: 1, queued: 0, draining: false };
const CONGESTED = { inFlight: 3, queued: 30, draining: false };

function makeLimit(): concurrencyLimit.ConcurrencyLimit {
  const limit = new concurrencyLimit.ConcurrencyLimit();
  limit.setBounds(30, 100, 20);
  return limit;
}

function report(
  limit: concurrencyLimit.ConcurrencyLimit,
  load: typeof FREE,
  times: number,
  inFlight = limit.value,
): void {
  for (let count = 0; count < times; count += 1) limit.recordReport(load, 3, inFlight);
}

test('decreases while servers are congested, but stays above the share of the daemon', () => {
  const limit = makeLimit();
  report(limit, CONGESTED, 1_000);
  expect(limit.value).toBe(3);
});

test('increases up to the connections of the daemon while servers have free capacity', () => {
  const limit = makeLimit();
  for (let count = 0; count < 1_000; count += 1) report(limit, FREE, 1);
  expect(limit.value).toBe(100);
});

test('does not increase while no calls are in flight', () => {
  const limit = makeLimit();
  report(limit, FREE, 1_000, 0);
  expect(limit.value).toBe(8);
});

// Guards against refusals right after a restart, when many calls arrive at once.
test('a fixed limit ignores timeouts and reports of congestion', () => {
  const limit = new concurrencyLimit.ConcurrencyLimit();
  limit.setBounds(56, 140, 24);
  limit.fixAtMaximum();
  limit.recordTimeout();
  limit.recordReport({ inFlight: 4, queued: 30, draining: false }, 4, 100);
  expect(limit.value).toBe(140);
});
