import type * as simulatedServer from './SimulatedServer';
import type * as benchTypes from './Types';

/** Time until a fault is cleared, or moves on to other servers. */
const FAULT_PERIOD_MS = 2_000;
const AFFECTED_FRACTION = 0.1;
const STRAGGLER_SPEED = 1 / 20;
const BURST_EVERY_MS = 60;
const BURST_MIN_MS = 5;
const BURST_MAX_MS = 50;
const BURST_SPEED = 1 / 10;
const DRAIN_EVERY_MS = 5_000;
const DAWN_START_MS = 10_000;
const DAWN_RAMP_MS = 1_000;
/** Ends two seconds before the measured part of a run begins. */
const OVERLOAD_UNTIL_MS = 1_000;

function repeatEvery(
  context: benchTypes.IScenarioContext,
  intervalMs: number,
  action: () => void,
): void {
  context.clock.setTimer(intervalMs, () => {
    action();
    repeatEvery(context, intervalMs, action);
  });
}

function pickServers(
  context: benchTypes.IScenarioContext,
  fraction: number,
): readonly simulatedServer.SimulatedServer[] {
  const remaining = [...context.servers];
  const count = Math.max(1, Math.round(remaining.length * fraction));
  return Array.from({ length: count }, () => {
    const [server] = remaining.splice(context.random.nextInteger(remaining.length), 1);
    return server as simulatedServer.SimulatedServer;
  });
}

/** Every two seconds, clears a fault and injects it into a new random selection of servers. */
function rotateFault(
  context: benchTypes.IScenarioContext,
  fraction: number,
  inject: (server: simulatedServer.SimulatedServer) => void,
  clear: (server: simulatedServer.SimulatedServer) => void,
): void {
  let affected: readonly simulatedServer.SimulatedServer[] = [];
  repeatEvery(context, FAULT_PERIOD_MS, () => {
    affected.forEach(clear);
    affected = pickServers(context, fraction);
    affected.forEach(inject);
  });
}

function slowNewWork(context: benchTypes.IScenarioContext): void {
  const [server] = pickServers(context, 1 / context.servers.length);
  const durationMs = BURST_MIN_MS + context.random.next() * (BURST_MAX_MS - BURST_MIN_MS);
  server?.setSpeedOfNewWork(BURST_SPEED);
  context.clock.setTimer(durationMs, () => server?.setSpeedOfNewWork(1));
}

function slowAllWork(context: benchTypes.IScenarioContext): void {
  const [server] = pickServers(context, 1 / context.servers.length);
  const durationMs = BURST_MIN_MS + context.random.next() * (BURST_MAX_MS - BURST_MIN_MS);
  server?.setSpeed(BURST_SPEED);
  context.clock.setTimer(durationMs, () => server?.setSpeed(1));
}

function drainServer(context: benchTypes.IScenarioContext): void {
  const [server] = pickServers(context, 1 / context.servers.length);
  if (server === undefined) return;
  server.draining = true;
  context.clock.setTimer(FAULT_PERIOD_MS, () => {
    server.draining = false;
  });
}

function reportFalseLoad(context: benchTypes.IScenarioContext): void {
  rotateFault(
    context,
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
  const rampFraction = Math.min(1, Math.max(0, (nowMs - DAWN_START_MS) / DAWN_RAMP_MS));
  return 0.1 + 0.9 * rampFraction;
}

const ALL: readonly benchTypes.IScenario[] = [
  { name: 'steady', utilization: 0.75 },
  { name: 'dawn', utilization: 0.8, loadFactorAt: dawnLoadAt },
  {
    name: 'straggler',
    utilization: 0.6,
    injectFaults: (context) =>
      rotateFault(
        context,
        AFFECTED_FRACTION,
        (server) => server.setSpeed(STRAGGLER_SPEED),
        (server) => server.setSpeed(1),
      ),
  },
  // As in the model of design section 5.2: work that starts during a burst stays slow to its end.
  {
    name: 'noisy',
    utilization: 0.5,
    injectFaults: (context) => repeatEvery(context, BURST_EVERY_MS, () => slowNewWork(context)),
  },
  // As `noisy`, but all work is slow during the burst, and none after it.
  {
    name: 'stall',
    utilization: 0.5,
    injectFaults: (context) => repeatEvery(context, BURST_EVERY_MS, () => slowAllWork(context)),
  },
  {
    name: 'fastfail',
    utilization: 0.6,
    injectFaults: (context) =>
      rotateFault(
        context,
        AFFECTED_FRACTION,
        (server) => Object.assign(server, { refusing: true }),
        (server) => Object.assign(server, { refusing: false }),
      ),
  },
  // Slow servers report no load. A server that was slow keeps reporting a stale load afterwards.
  { name: 'lying', utilization: 0.6, injectFaults: reportFalseLoad },
  {
    name: 'drain',
    utilization: 0.6,
    injectFaults: (context) => repeatEvery(context, DRAIN_EVERY_MS, () => drainServer(context)),
  },
  { name: 'batch', utilization: 0.7, longReadUtilization: 0.3, hasLongReadService: true },
  // As `batch`, but the long reads belong to the same service, so daemons cannot distinguish them.
  { name: 'mixed', utilization: 0.7, longReadUtilization: 0.3 },
  {
    name: 'partition',
    utilization: 0.25,
    injectFaults: (context) => {
      repeatEvery(context, 8_000, () => {
        context.isolate(context.servers[0]?.row.failureDomain);
        context.clock.setTimer(FAULT_PERIOD_MS, () => context.isolate(undefined));
      });
    },
  },
  { name: 'crasher', utilization: 0.5, crasherIntervalMs: 4_000 },
  {
    name: 'silent',
    utilization: 0.6,
    injectFaults: (context) =>
      repeatEvery(context, FAULT_PERIOD_MS, () =>
        pickServers(context, AFFECTED_FRACTION).forEach((server) =>
          context.silenceConnections(server.row.address),
        ),
      ),
  },
  {
    name: 'restart',
    utilization: 0.6,
    injectFaults: (context) => {
      let index = 0;
      repeatEvery(context, 500, () => {
        context.replaceDaemon(index % context.company.daemons);
        index += 1;
      });
    },
  },
  { name: 'deep', utilization: 0.5, depth: 14 },
  // Twice the capacity: 2 * answered / calls is the goodput as a share of the capacity.
  { name: 'overload', utilization: 2 },
  // Twice the capacity until two seconds before the measured part, where latency has to be normal.
  {
    name: 'recovery',
    utilization: 0.5,
    loadFactorAt: (nowMs) => (nowMs < OVERLOAD_UNTIL_MS ? 4 : 1),
  },
];

/** Scenarios by name. */
export const SCENARIOS: ReadonlyMap<string, benchTypes.IScenario> = new Map(
  ALL.map((scenario) => [scenario.name, scenario]),
);
