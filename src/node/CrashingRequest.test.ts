import * as crashFleet from './testing/CrashFleet';

/** Retries that are allowed once a request has crashed three servers and time has passed since. */
const MAX_LATE_SENDS = 3;

const SCENARIO = {
  ...{ daemons: 19, servers: 14, requestsPerSecond: 400 },
  ...{ crashingIntervalMs: 150, restartMs: 2_000 },
};

jest.setTimeout(60_000);

/** Starts a fleet and lets its daemons find each other. */
function startFleet(scenario: Partial<crashFleet.ICrashScenario>, seed = 1): crashFleet.CrashFleet {
  const fleet = new crashFleet.CrashFleet({ ...SCENARIO, ...scenario }, seed);
  fleet.sendsCrashing = false;
  fleet.play(10_000);
  fleet.sendsCrashing = true;
  return fleet;
}

// Guards against a request that goes on crashing servers because daemons learn of its losses late.
test.each([19, 60])('%i daemons refuse a request that has crashed three servers', (daemons) => {
  const fleet = startFleet({ daemons, servers: daemons - 5 });
  fleet.play(12_000);
  expect(fleet.crashesMs.length).toBeGreaterThanOrEqual(3);
  expect(fleet.lateSends).toBeLessThanOrEqual(MAX_LATE_SENDS);
  fleet.dispose();
});

// Guards against a service with few servers, whose addresses never add up to the limit of losses.
test('a server that is started again counts again', () => {
  const fleet = startFleet({ servers: 2, crashingIntervalMs: 2_500, maxAttempts: 1 });
  fleet.play(20_000);
  expect(fleet.crashesMs.length).toBeGreaterThanOrEqual(3);
  expect(fleet.lateSends).toBeLessThanOrEqual(MAX_LATE_SENDS);
  fleet.dispose();
});

// Guards against losses that no check can decide, so that the request is never refused.
test.each([
  ['when all servers have ended at once', { servers: 2 }],
  ['when servers end silently', { isDark: true }],
  ['when servers end silently and keep their identifier', { isDark: true, keepsInstance: true }],
])('%s, their losses count once others are in their place', (_name, scenario) => {
  const fleet = startFleet(scenario);
  fleet.play(20_000);
  expect(fleet.crashesMs.length).toBeGreaterThanOrEqual(3);
  expect(fleet.lateSends).toBeLessThanOrEqual(MAX_LATE_SENDS);
  fleet.dispose();
});

// Guards against a decisive report that waits behind those of other requests on the same servers.
test('a request is refused in time while servers fail other requests too', () => {
  const fleet = startFleet({ failingShare: 0.5 }, 2);
  fleet.play(20_000);
  expect(fleet.crashesMs.length).toBeGreaterThanOrEqual(3);
  expect(fleet.lateSends).toBeLessThanOrEqual(MAX_LATE_SENDS);
  fleet.dispose();
});
