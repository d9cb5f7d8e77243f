import * as coldFleet from '../testing/ColdFleet';

const TERMS = { rateFactor: 1.5, rateAllowance: 8 };
const SERVERS = 9;

/** Longer than it takes daemons to know the members. */
const SETTLED_MS = 5_000;

const PLAYED_S = 10;
const PLAYED_MS = 1_000 * PLAYED_S;

/** Daemons, and requests a second that a cold server takes. */
const FLEETS: [number, number][] = [
  [110, 7.2],
  [131, 4.1],
];

function makeFleet(daemonCount: number, requestsPerSecond: number) {
  const options = { daemonCount, requestsPerSecond, serverCount: SERVERS, terms: TERMS, seed: 1 };
  const fleet = new coldFleet.ColdFleet(options);
  fleet.play(SETTLED_MS, 0);
  return fleet;
}

// Guards against callers who are refused while cold servers would take their requests: four calls a
// second at each daemon, so that those which hold permits have callers for them.
test.each(FLEETS)('%i daemons use 40%% of the rate of %f if all are cold', (count, rate) => {
  const fleet = makeFleet(count, rate);
  fleet.makeCold(fleet.servers, PLAYED_MS);
  fleet.play(PLAYED_MS, 4 * count);
  expect(fleet.arrivalCount).toBeGreaterThanOrEqual(0.4 * rate * SERVERS * PLAYED_S);
});

// Guards against shares of dead daemons that leave cold servers without requests.
test.each(FLEETS)('half of %i daemons still use a sixth of the rate of %f', (count, rate) => {
  const fleet = makeFleet(count, rate);
  const half = Array.from({ length: Math.floor(count / 2) }, (_, index) => 2 * index);
  fleet.membersOf = () => half;
  fleet.makeCold(fleet.servers, PLAYED_MS);
  fleet.play(PLAYED_MS, 4 * count, half);
  expect(fleet.arrivalCount).toBeGreaterThanOrEqual((rate * SERVERS * PLAYED_S) / 6);
});

// Guards against callers who are refused without being told when to come back, or much too late.
test.each(FLEETS)('%i daemons: who is refused may return within two turns', (count, rate) => {
  const fleet = makeFleet(count, rate);
  fleet.makeCold(fleet.servers, PLAYED_MS);
  fleet.play(PLAYED_MS / 2, 4 * count);
  expect(fleet.retryDelaysMs.length).toBeGreaterThan(0);
  fleet.retryDelaysMs.forEach((delayMs) => {
    expect(delayMs).toBeGreaterThan(0);
    expect(delayMs).toBeLessThanOrEqual(2_000 / (0.75 * rate) + 1);
  });
});

// Guards against servers that stay restrained after they have become warm.
test.each(FLEETS)('%i daemons serve all callers once one server is warm', (count, rate) => {
  const fleet = makeFleet(count, rate);
  fleet.makeCold(fleet.servers, PLAYED_MS);
  fleet.makeCold(fleet.servers.slice(0, 1), 1_000);
  fleet.play(1_100, 4 * count);
  fleet.resetCounts();
  fleet.play(1_000, 4 * count);
  expect(fleet.retryDelaysMs).toEqual([]);
  expect(fleet.served).toBeGreaterThanOrEqual(4 * count - 1);
});
