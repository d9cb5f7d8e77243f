import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';

import * as hdr from 'hdr-histogram-js';

import * as seededRandom from '../common/SeededRandom';
import * as soakAudit from '../soak/SoakAudit';
import * as soakFaults from '../soak/SoakFaults';
import * as soakFleet from '../soak/SoakFleet';
import * as soakLoad from '../soak/SoakLoad';
import type * as soakTypes from '../soak/Types';
import * as pauseModule from '../standin/pause';

const DAEMONS = 3;
const SEED = 1;
const MICROSECONDS_PER_MS = 1_000;

/** Faults of the demo: name, component index, and begin and end as fractions of the run. */
const EVENTS: readonly { name: string; index: number; begin: number; end: number }[] = [
  { name: 'new configuration', index: 0, begin: 0.1, end: 0.2 },
  { name: 'daemon shuts down gracefully', index: 2, begin: 0.25, end: 0.3 },
  { name: 'server slow', index: 1, begin: 0.4, end: 0.6 },
  { name: 'server crashes', index: 5, begin: 0.6, end: 0.8 },
];

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

function latenciesOf(calls: readonly soakTypes.ICallRecord[]): { p50Ms: number; p99Ms: number } {
  const histogram = hdr.build({ numberOfSignificantValueDigits: 3 });
  calls
    .filter(({ end }) => end === 'answered')
    .forEach(({ startMs, endMs }) =>
      histogram.recordValue(Math.round((endMs - startMs) * MICROSECONDS_PER_MS)),
    );
  const at = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return { p50Ms: at(50), p99Ms: at(99) };
}

async function runScenario(fleet: soakFleet.SoakFleet, seconds: number): Promise<boolean> {
  const balancerTargets = new Set(fleet.daemons.map((_, index) => index));
  const load = new soakLoad.SoakLoad(fleet, balancerTargets, new seededRandom.SeededRandom(SEED));
  const faults = new soakFaults.SoakFaults(fleet, balancerTargets);
  const durationMs = seconds * 1_000;
  load.start();
  await Promise.all([
    pauseModule.pause(durationMs),
    ...EVENTS.map(async ({ name, index, begin, end }) => {
      const fault = faults.all.find((one) => one.name === name);
      if (fault === undefined) throw new Error(`unknown fault "${name}"`);
      await pauseModule.pause(begin * durationMs);
      printLine(`${(begin * seconds).toFixed(1)} s: ${name} [${index}]`);
      await fault.begin(index);
      await pauseModule.pause((end - begin) * durationMs);
      await fault.end(index);
    }),
  ]);
  await load.stop();
  const { calls } = load;
  const { faultIntervals } = faults;
  const violations = soakAudit.audit({ calls, runs: fleet.runs, faultIntervals });
  const countOf = (end: soakTypes.CallOutcome) => calls.filter((call) => call.end === end).length;
  const wrongAnswers = violations.wrongAnswers.length;
  const doubledRuns = violations.doubledRuns.length;
  const probes = fleet.servers.reduce((sum, { target }) => sum + target.checks, 0);
  printLine(
    JSON.stringify({
      answered: countOf('answered'),
      refusedNotRun: countOf('refused-not-run'),
      outcomeUnknown: countOf('unknown'),
      wrongAnswers,
      doubledRuns,
      probes,
      ...latenciesOf(calls),
    }),
  );
  return wrongAnswers === 0 && doubledRuns === 0;
}

/**
 * Runs platform daemons with stand-ins for the store and the backend servers. Returns whether every
 * answer was correct and no non-idempotent request ran twice.
 */
export async function run(seconds: number): Promise<boolean> {
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'demo-'));
  const fleet = new soakFleet.SoakFleet(path.join(__dirname, '..'), folder);
  try {
    await fleet.start(DAEMONS);
    printLine(`${DAEMONS} daemons and ${fleet.servers.length} backend servers are running`);
    return await runScenario(fleet, seconds);
  } finally {
    await fleet.stop();
    await fs.rm(folder, { recursive: true });
  }
}
