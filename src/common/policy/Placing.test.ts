import * as placingFleet from '../testing/PlacingFleet';

/** Twice as many calls as the servers can answer, from the first moment. */
const OVERLOAD: placingFleet.IPlacingLoad = {
  daemons: 18,
  servers: 4,
  slots: 2,
  callsPerSecond: 18,
  workMs: 250,
  objectiveMs: 850,
  deadlineMs: 2_500,
  oneWayMs: 3.9,
  service: { retryFraction: 0.2 },
};

/** Many daemons with few calls each, which together fill three quarters of the slots. */
const HERD: placingFleet.IPlacingLoad = {
  ...OVERLOAD,
  daemons: 142,
  servers: 73,
  callsPerSecond: 250,
  workMs: 190,
  objectiveMs: 650,
};

// Guards against daemons that have just started and send requests to servers with full queues.
test('overload from the start: servers reject one request in ten at most', () => {
  const results = [1, 2, 3, 4].map((seed) => {
    const fleet = new placingFleet.PlacingFleet(OVERLOAD, seed);
    fleet.run(5);
    return fleet.result;
  });
  const sum = (read: (result: placingFleet.IPlacingResult) => number) =>
    results.reduce((total, result) => total + read(result), 0);
  expect(sum(({ rejected }) => rejected) / sum(({ sends }) => sends)).toBeLessThan(0.1);
  expect(sum(({ answered }) => answered) / sum(({ calls }) => calls)).toBeGreaterThan(0.5);
});

// Guards against daemons that all choose the one server that has just become idle.
test('a server that joins a busy fleet is not overrun', () => {
  const fleet = new placingFleet.PlacingFleet(HERD);
  fleet.run(5);
  const added = fleet.addServer();
  fleet.applyTable();
  fleet.restart();
  fleet.run(4);
  const server = fleet.servers.get(added);
  expect(server?.arrivals).toBeGreaterThan(0);
  expect(server?.rejected).toBe(0);
  expect(Math.max(...fleet.result.arrivals)).toBeLessThan((3 * HERD.callsPerSecond * 4) / 73);
});

// Guards against a fleet that overruns the servers that are left when others end.
test('when a tenth of the servers end, the others reject hardly any request', () => {
  const fleet = new placingFleet.PlacingFleet(HERD);
  fleet.run(5);
  const ended = [...fleet.servers.keys()].filter((_, index) => index % 10 === 0);
  ended.forEach((address) => fleet.servers.get(address)?.stop());
  fleet.restart();
  fleet.run(2);
  ended.forEach((address) => fleet.removeServer(address));
  fleet.applyTable();
  fleet.run(6);
  const { rejected, sends, answered, calls } = fleet.result;
  expect(rejected / sends).toBeLessThan(0.01);
  expect(answered / calls).toBeGreaterThan(0.95);
});
