import * as path from 'node:path';

import * as seededRandom from '../common/SeededRandom';
import * as faultFleet from './FaultFleet';
import * as keyedOrders from './KeyedOrders';
import * as mixedLoad from './MixedLoad';
import * as randomFaults from './RandomFaults';
import * as invariants from './Invariants';

const DAEMONS = 3;
const DEFAULT_SECONDS = 60;
const PROBES_PER_SECOND = 20;

/** Time after which a draining server must receive no new work, in milliseconds. */
const LEAVING_LIMIT_MS = 5_000;

function numberArgument(name: string, fallback: number): number {
  const position = process.argv.indexOf(name);
  const value = position < 0 ? fallback : Number(process.argv[position + 1]);
  if (!Number.isFinite(value)) throw new Error(`${name} expects a number`);
  return value;
}

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

function startFleet(seed: number): Promise<faultFleet.FaultFleet> {
  const options = { slots: 3, serviceMs: 8, queueLimit: 20 };
  const shared = { class: 'prompt', deadline_ms: 1_500, probes_per_second: PROBES_PER_SECOND };
  return faultFleet.FaultFleet.start({
    buildFolder: path.join(__dirname, '..'),
    daemons: DAEMONS,
    seed,
    services: [
      {
        cells: { name: 'reads', idempotent: 'yes', ...shared, class: 'prompt' },
        servers: 5,
        options,
      },
      {
        cells: { name: 'orders', idempotent: 'no', ...shared, class: 'prompt' },
        servers: 4,
        options,
      },
    ],
  });
}

async function runStep(step: randomFaults.IStep): Promise<void> {
  printLine(step.faults.map(({ fault, index }) => `${fault.name} [${index}]`).join(' with '));
  await Promise.all(step.faults.map(({ fault, index }) => fault.begin(index)));
  await new Promise((resolve) => {
    setTimeout(resolve, step.durationMs);
  });
  // Ends the faults concurrently: a daemon may need the platform or the network to restart.
  const ends = step.faults.map(({ fault, index }) => fault.end(index));
  await Promise.all(ends);
}

function summarize(
  fleet: faultFleet.FaultFleet,
  stopRecord: randomFaults.IStopRecord,
  faultsInjected: number,
  tableReversions: number,
) {
  const { submissions } = fleet.caller;
  const cutByDaemons = submissions.filter((one) =>
    stopRecord.daemonStops.some(
      ({ url, beginMs, endMs }) =>
        one.daemon === url &&
        one.reason === 'daemon-lost' &&
        one.endMs >= beginMs &&
        one.endMs <= endMs,
    ),
  ).length;
  const started = fleet.servers.flatMap(({ backend }) => backend.record.runs);
  const overruns = ['reads', 'orders'].map((service) => {
    const servers = fleet.serversOf(service);
    const probesMs = servers.flatMap(({ backend }) => backend.record.probesMs);
    return invariants.countBudgetOverruns(probesMs, PROBES_PER_SECOND);
  });
  const { answered, refusedNotRun, outcomeUnknown, ...violations } = fleet.audit(
    keyedOrders.isOrder,
  );
  return {
    faultsInjected,
    calls: submissions.length,
    answered,
    refusedNotRun,
    outcomeUnknown,
    wrongAnswers: violations.wrongAnswers,
    falseNotRun: violations.falseNotRun,
    doubledRuns: violations.doubledRuns,
    cutInFlight: stopRecord.cutAtServers + cutByDaemons,
    workOnLeaving: started.filter((one) => (one.drainingForMs ?? 0) > LEAVING_LIMIT_MS).length,
    tableReversions,
    budgetOverruns: overruns.reduce((sum, count) => sum + count, 0),
  };
}

async function run(fleet: faultFleet.FaultFleet, seed: number, seconds: number) {
  const random = new seededRandom.SeededRandom(seed);
  const balancerTargets = new Set(fleet.daemons.map((_, index) => index));
  const stopRecord: randomFaults.IStopRecord = { cutAtServers: 0, daemonStops: [] };
  let version = 1;
  const faults = randomFaults.allFaults(fleet, stopRecord, balancerTargets, () => {
    version += 1;
    fleet.publishTable(version);
  });
  const versionMonitor = new invariants.TableVersionMonitor(fleet);
  const load = new mixedLoad.MixedLoad(
    fleet,
    balancerTargets,
    new seededRandom.SeededRandom(seed + 1),
  );
  const endMs = performance.now() + seconds * 1_000;
  let injected = 0;
  while (performance.now() < endMs) {
    const step = randomFaults.nextStep(faults, random, fleet);
    await runStep(step);
    injected += step.faults.length;
  }
  await load.stop();
  versionMonitor.stop();
  return summarize(fleet, stopRecord, injected, versionMonitor.reversions);
}

async function main(): Promise<void> {
  const seed = numberArgument('--seed', 1);
  const fleet = await startFleet(seed);
  try {
    const result = await run(fleet, seed, numberArgument('--seconds', DEFAULT_SECONDS));
    printLine(JSON.stringify(result));
    const violations = [
      result.wrongAnswers,
      result.falseNotRun,
      result.doubledRuns,
      result.cutInFlight,
      result.workOnLeaving,
      result.tableReversions,
      result.budgetOverruns,
    ];
    process.exitCode = violations.every((count) => count === 0) ? 0 : 1;
  } finally {
    await fleet.close();
  }
}

main().catch((error: Error) => {
  process.stderr.write(`${error.stack ?? error.message}\n`);
  process.exitCode = 1;
});
