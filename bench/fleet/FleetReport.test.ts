import * as fleetReport from './FleetReport';

const LIVE = { wronglySuspectedPercent: 0, missingPercent: 0, retryOverrun: 0 };

// Guards against daemons that do not know each other, or that give up live ones, in a calm fleet.
test.each([1, 19])('%i daemons know each other, and keep to their limits', (members) => {
  const report = fleetReport.reportFleet(members, 1, 0);
  expect(report).toMatchObject({ members, seed: 1, ...LIVE });
  expect(report.retriesGranted).toBeGreaterThan(0);
  expect(report.retriesGranted).toBeLessThanOrEqual(report.retriesAsked);
  expect(report.detectionP99Ms).toBeLessThanOrEqual(10_000);
  expect(report.bytesPerSecondMax).toBeLessThanOrEqual(8_192);
  expect(report.changeToAllMs).toBeLessThanOrEqual(3_000);
});

test('the same seed gives the same report', () => {
  expect(fleetReport.reportFleet(19, 7, 0.5)).toEqual(fleetReport.reportFleet(19, 7, 0.5));
});
