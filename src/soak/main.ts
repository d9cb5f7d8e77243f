import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';

import * as commander from 'commander';

import * as seededRandom from '../common/SeededRandom';
import type * as types from '../common/Types';
import * as coldAudit from './ColdAudit';
import * as restraintAudit from './RestraintAudit';
import * as slowReaders from './SlowReaders';
import * as soakAudit from './SoakAudit';
import * as soakFaults from './SoakFaults';
import * as soakFleet from './SoakFleet';
import * as soakLoad from './SoakLoad';
import type * as soakTypes from './Types';
import * as versionAudit from './VersionAudit';
import * as versionMonitorModule from './VersionMonitor';
import * as pauseModule from '../standin/pause';

/** Default number of daemons, and the largest one, which take about 80 MB each. */
const DEFAULT_DAEMONS = 3;
const MAX_DAEMONS = 120;

/** Maximum number of concurrent faults, and the duration of each, in milliseconds. */
const MAX_FAULTS = 3;
const MIN_FAULT_MS = 300;
const FAULT_DURATION_RANGE_MS = 2_500;

/** Maximum number of violations printed for each guarantee. */
const MAX_PRINTED = 5;

function logLine(text: string): void {
  process.stderr.write(`${text}\n`);
}

async function runFault(fault: soakFaults.IFault, index: number, durationMs: number) {
  logLine(`${fault.name} [${index}] for ${durationMs} ms`);
  await fault.begin(index);
  await pauseModule.pause(durationMs);
  await fault.end(index);
}

/** Injects up to `MAX_FAULTS` concurrent faults until `endMs`, and returns their number. */
async function injectFaults(
  faults: soakFaults.SoakFaults,
  fleet: soakFleet.SoakFleet,
  random: types.IRandom,
  endMs: number,
): Promise<number> {
  const running = new Map<string, Promise<void>>();
  let injected = 0;
  while (performance.now() < endMs) {
    const fault = faults.all[random.nextInteger(faults.all.length)] as soakFaults.IFault;
    const counts = {
      daemon: fleet.daemons.length,
      server: fleet.servers.length,
      store: 1,
      configuration: 1,
      network: 1,
    };
    const index = random.nextInteger(counts[fault.subject]);
    const durationMs = MIN_FAULT_MS + random.nextInteger(FAULT_DURATION_RANGE_MS);
    const key = `${fault.subject} ${index}`;
    if (!running.has(key)) {
      injected += 1;
      running.set(
        key,
        runFault(fault, index, durationMs).finally(() => running.delete(key)),
      );
    }
    if (running.size >= MAX_FAULTS) await Promise.race(running.values());
    await pauseModule.pause(random.nextInteger(MIN_FAULT_MS));
  }
  await Promise.all(running.values());
  return injected;
}

function logViolations(violations: object): void {
  Object.entries(violations).forEach(([kind, found]) => {
    if (!Array.isArray(found)) return;
    found.slice(0, MAX_PRINTED).forEach((one) => logLine(`${kind}: ${JSON.stringify(one)}`));
  });
}

async function run(seed: number, minutes: number, daemons: number): Promise<soakTypes.ISoakResult> {
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'soak-'));
  const fleet = new soakFleet.SoakFleet(path.join(__dirname, '..'), folder);
  const balancerTargets = new Set(Array.from({ length: daemons }, (_, index) => index));
  const load = new soakLoad.SoakLoad(
    fleet,
    balancerTargets,
    new seededRandom.SeededRandom(seed + 1),
  );
  const readers = new slowReaders.SlowReaders(
    fleet,
    load.calls,
    balancerTargets,
    new seededRandom.SeededRandom(seed + 2),
  );
  const faults = new soakFaults.SoakFaults(fleet, balancerTargets);
  const versionMonitor = new versionMonitorModule.VersionMonitor(fleet);
  try {
    await fleet.start(daemons);
    load.start();
    readers.start();
    const monitoring = versionMonitor.run();
    const endMs = performance.now() + minutes * 60_000;
    const random = new seededRandom.SeededRandom(seed);
    const injected = await injectFaults(faults, fleet, random, endMs);
    await Promise.all([load.stop(), readers.stop()]);
    versionMonitor.stop();
    await monitoring;
    const { calls } = load;
    const { arrivals, statements, limits, coldIntervals } = fleet;
    const { faultIntervals } = faults;
    const violations = soakAudit.audit({
      calls,
      runs: fleet.runs,
      faultIntervals,
    });
    const observed = { calls, arrivals, statements, limits, faultIntervals };
    const restraintViolations = restraintAudit.auditRestraints(observed);
    const coldOverruns = coldAudit.findColdOverruns(
      { arrivals, coldIntervals, faultIntervals },
      soakFleet.COLD_BOUND,
    );
    const { ownEnds, publications } = fleet;
    const lateVersions = versionAudit.findLate(versionMonitor.behind, publications, faultIntervals);
    const found = { ...violations, ...restraintViolations, coldOverruns };
    logViolations({ ...found, lateVersions, ownEnds });
    const countOf = (end: soakTypes.CallOutcome) => calls.filter((call) => call.end === end).length;
    return {
      seed,
      faults: injected,
      calls: calls.length,
      answered: countOf('answered'),
      refusedNotRun: countOf('refused-not-run'),
      outcomeUnknown: countOf('unknown'),
      wrongAnswers: violations.wrongAnswers.length,
      falseNotRun: violations.falseNotRun.length,
      doubledRuns: violations.doubledRuns.length,
      cutInFlight: violations.cutInFlight.length,
      workOnLeaving: violations.workOnLeaving.length,
      tableReversions: versionMonitor.reversions,
      lateVersions: lateVersions.length,
      budgetOverruns: violations.budgetOverruns,
      requestsToLeaving: restraintViolations.requestsToLeaving.length,
      disturbedPauses: restraintViolations.disturbedPauses.length,
      limitOverruns: restraintViolations.limitOverruns.length,
      coldOverruns: coldOverruns.length,
      ownEnds: ownEnds.length,
    };
  } finally {
    await fleet.stop();
    await fs.rm(folder, { recursive: true });
  }
}

function countViolations(result: soakTypes.ISoakResult): number {
  const { wrongAnswers, falseNotRun, doubledRuns, cutInFlight, workOnLeaving } = result;
  const { tableReversions, lateVersions, budgetOverruns } = result;
  const { requestsToLeaving, disturbedPauses, limitOverruns, coldOverruns, ownEnds } = result;
  return [
    ...[wrongAnswers, falseNotRun, doubledRuns, cutInFlight, workOnLeaving],
    ...[
      tableReversions,
      lateVersions,
      budgetOverruns,
      requestsToLeaving,
      disturbedPauses,
      limitOverruns,
      coldOverruns,
      ownEnds,
    ],
  ].reduce((sum, count) => sum + count, 0);
}

function parseNumber(text: string): number {
  const value = Number(text);
  if (!Number.isFinite(value) || value < 0) {
    throw new commander.InvalidArgumentError('expected a number that is 0 or greater');
  }
  return value;
}

function parseDaemons(text: string): number {
  const value = parseNumber(text);
  if (!Number.isInteger(value) || value < 1 || value > MAX_DAEMONS) {
    throw new commander.InvalidArgumentError(`expected an integer from 1 to ${MAX_DAEMONS}`);
  }
  return value;
}

async function main(): Promise<void> {
  const program = new commander.Command('soak')
    .description('run daemons of the platform under random faults, and check their guarantees')
    .option('--seed <number>', 'seed of the faults and of the load', parseNumber, 1)
    .option('--minutes <number>', 'time during which faults are injected', parseNumber, 1)
    .option('--daemons <number>', 'number of daemon processes', parseDaemons, DEFAULT_DAEMONS)
    .parse();
  const options = program.opts<{ seed: number; minutes: number; daemons: number }>();
  const result = await run(options.seed, options.minutes, options.daemons);
  process.stdout.write(`${JSON.stringify(result)}\n`);
  process.exitCode = countViolations(result) > 0 ? 1 : 0;
}

main().catch((error: Error) => {
  logLine(error.stack ?? error.message);
  process.exitCode = 1;
});
