import type * as simulatedServer from './SimulatedServer';
import type * as benchTypes from './Types';

/** Time after which a moving disturbance chooses other servers. */
const MOVE_MS = 2_000;
const AFFECTED_FRACTION = 0.1;
const STRAGGLER_SPEED = 1 / 20;
const BURST_EVERY_MS = 60;
const BURST_MIN_MS = 5;
const BURST_MAX_MS = 50;
const BURST_SPEED = 1 / 10;
const DRAIN_EVERY_MS = 5_000;
const DAWN_AT_MS = 10_000;
const DAWN_RISE_MS = 1_000;
/** Two seconds before the measured part of a run begins. */
const OVERLOAD_UNTIL_MS = 1_000;

function every(world: benchTypes.IScenarioContext, intervalMs: number, action: () => void): void {
  world.clock.setTimer(intervalMs, () => {
    action();
    every(world, intervalMs, action);
  });
}

function pick(
  world: benchTypes.IScenarioContext,
  fraction: number,
): readonly simulatedServer.SimulatedServer[] {
  const rest = [...world.servers];
  const count = Math.max(1, Math.round(rest.length * fraction));
  return Array.from({ length: count }, () => {
    const [taken] = rest.splice(world.random.nextInteger(rest.length), 1);
    return taken as simulatedServer.SimulatedServer;
  });
}

/** Applies `enter` to other servers every two seconds, and `leave` to the servers before. */
function move(
  world: benchTypes.IScenarioContext,
  fraction: number,
  enter: (server: simulatedServer.SimulatedServer) => void,
  leave: (server: simulatedServer.SimulatedServer) => void,
): void {
  let affected: readonly simulatedServer.SimulatedServer[] = [];
  every(world, MOVE_MS, () => {
    affected.forEach(leave);
    affected = pick(world, fraction);
    affected.forEach(enter);
  });
}

function burst(world: benchTypes.IScenarioContext): void {
  const [server] = pick(world, 1 / world.servers.length);
  const durationMs = BURST_MIN_MS + world.random.next() * (BURST_MAX_MS - BURST_MIN_MS);
  server?.setSpeedOfNewWork(BURST_SPEED);
  world.clock.setTimer(durationMs, () => server?.setSpeedOfNewWork(1));
}

function stall(world: benchTypes.IScenarioContext): void {
  const [server] = pick(world, 1 / world.servers.length);
  const durationMs = BURST_MIN_MS + world.random.next() * (BURST_MAX_MS - BURST_MIN_MS);
  server?.setSpeed(BURST_SPEED);
  world.clock.setTimer(durationMs, () => server?.setSpeed(1));
}

function drain(world: benchTypes.IScenarioContext): void {
  const [server] = pick(world, 1 / world.servers.length);
  if (server === undefined) return;
  server.draining = true;
  world.clock.setTimer(MOVE_MS, () => {
    server.draining = false;
  });
}

function lie(world: benchTypes.IScenarioContext): void {
  move(
    world,
    AFFECTED_FRACTION,
    (server) => {
      server.setReportMode('idle');
      server.setSpeed(STRAGGLER_SPEED);
    },
    (server) => {
      server.setSpeed(1);
      server.setReportMode('frozen');
    },
  );
}

function dawnLoadAt(nowMs: number): number {
  const risen = Math.min(1, Math.max(0, (nowMs - DAWN_AT_MS) / DAWN_RISE_MS));
  return 0.1 + 0.9 * risen;
}

const ALL: readonly benchTypes.IScenario[] = [
  { name: 'steady', utilization: 0.75 },
  { name: 'dawn', utilization: 0.8, loadFactorAt: dawnLoadAt },
  {
    name: 'straggler',
    utilization: 0.6,
    injectFaults: (world) =>
      move(
        world,
        AFFECTED_FRACTION,
        (server) => server.setSpeed(STRAGGLER_SPEED),
        (server) => server.setSpeed(1),
      ),
  },
  // As in the model of design section 5.2: work that starts in a burst is slow to its end.
  {
    name: 'noisy',
    utilization: 0.5,
    injectFaults: (world) => every(world, BURST_EVERY_MS, () => burst(world)),
  },
  // As noisy, but all work is slow during the burst, and none after it.
  {
    name: 'stall',
    utilization: 0.5,
    injectFaults: (world) => every(world, BURST_EVERY_MS, () => stall(world)),
  },
  {
    name: 'fastfail',
    utilization: 0.6,
    injectFaults: (world) =>
      move(
        world,
        AFFECTED_FRACTION,
        (server) => Object.assign(server, { refusing: true }),
        (server) => Object.assign(server, { refusing: false }),
      ),
  },
  // The slow servers report no load, and every server that was slow reports its past load for ever.
  { name: 'lying', utilization: 0.6, injectFaults: lie },
  {
    name: 'drain',
    utilization: 0.6,
    injectFaults: (world) => every(world, DRAIN_EVERY_MS, () => drain(world)),
  },
  { name: 'batch', utilization: 0.7, longReadUtilization: 0.3, hasLongReadService: true },
  // As batch, but the long reads belong to the same service, so that daemons cannot tell them apart.
  { name: 'mixed', utilization: 0.7, longReadUtilization: 0.3 },
  {
    name: 'partition',
    utilization: 0.25,
    injectFaults: (world) => {
      every(world, 8_000, () => {
        world.isolate(world.servers[0]?.row.failureDomain);
        world.clock.setTimer(MOVE_MS, () => world.isolate(undefined));
      });
    },
  },
  { name: 'crasher', utilization: 0.5, crasherIntervalMs: 4_000 },
  {
    name: 'silent',
    utilization: 0.6,
    injectFaults: (world) =>
      every(world, MOVE_MS, () =>
        pick(world, AFFECTED_FRACTION).forEach((server) =>
          world.silenceConnections(server.row.address),
        ),
      ),
  },
  {
    name: 'restart',
    utilization: 0.6,
    injectFaults: (world) => {
      let index = 0;
      every(world, 500, () => {
        world.replaceDaemon(index % world.company.daemons);
        index += 1;
      });
    },
  },
  { name: 'deep', utilization: 0.5, depth: 14 },
  // Twice the capacity: answered / calls, times two, is the goodput as a share of the capacity.
  { name: 'overload', utilization: 2 },
  // Twice the capacity until two seconds before the measured part, which has to be normal again.
  {
    name: 'recovery',
    utilization: 0.5,
    loadFactorAt: (nowMs) => (nowMs < OVERLOAD_UNTIL_MS ? 4 : 1),
  },
];

/** The scenarios by name. */
export const SCENARIOS: ReadonlyMap<string, benchTypes.IScenario> = new Map(
  ALL.map((scenario) => [scenario.name, scenario]),
);
