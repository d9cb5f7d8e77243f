import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';

import * as commander from 'commander';

import * as seededRandom from '../common/SeededRandom';
import type * as types from '../common/Types';
import * as soakAudit from './SoakAudit';
import * as soakFaults from './SoakFaults';
import * as soakFleet from './SoakFleet';
import * as soakLoad from './SoakLoad';
import type * as soakTypes from './Types';
import * as pauseModule from '../standin/pause';

const DAEMONS = 3;
const VERSION_INTERVAL_MS = 100;

/** Faults at the same time, at most, and the time that one lasts, in milliseconds. */
const MAX_FAULTS = 3;
const SHORTEST_FAULT_MS = 300;
const FAULT_SPREAD_MS = 2_500;

/** Findings of one kind that are printed. */
const MAX_PRINTED = 5;

function say(text: string): void {
  process.stderr.write(`${text}\n`);
}

/** Counts how often a daemon goes back to an older configuration within one process. */
class VersionWatch {
  public reversions = 0;

  private readonly highest = new WeakMap<object, number>();

  private stopped = false;

  public constructor(private readonly fleet: soakFleet.SoakFleet) {}

  public async run(): Promise<void> {
    while (!this.stopped) {
      await Promise.all(this.fleet.daemons.map((daemon, index) => this.look(daemon, index)));
      await pauseModule.pause(VERSION_INTERVAL_MS);
    }
  }

  public stop(): void {
    this.stopped = true;
  }

  private async look(daemon: soakFleet.ISoakDaemon, index: number): Promise<void> {
    const version = await this.fleet.versionAt(index);
    if (version === undefined || this.fleet.daemons[index] !== daemon) return;
    const highest = this.highest.get(daemon.child) ?? 0;
    if (version < highest) this.reversions += 1;
    this.highest.set(daemon.child, Math.max(highest, version));
  }
}

async function runFault(fault: soakFaults.IFault, index: number, durationMs: number) {
  say(`${fault.name} [${index}] for ${durationMs} ms`);
  await fault.begin(index);
  await pauseModule.pause(durationMs);
  await fault.end(index);
}

/** Injects faults until `endMs`, a few at a time, and returns their number. */
async function inject(
  faults: soakFaults.SoakFaults,
  fleet: soakFleet.SoakFleet,
  random: types.IRandom,
  endMs: number,
): Promise<number> {
  const busy = new Map<string, Promise<void>>();
  let injected = 0;
  while (performance.now() < endMs) {
    const fault = faults.all[random.nextInteger(faults.all.length)] as soakFaults.IFault;
    const counts = { daemon: DAEMONS, server: fleet.servers.length, store: 1, configuration: 1 };
    const index = random.nextInteger(counts[fault.subject]);
    const durationMs = SHORTEST_FAULT_MS + random.nextInteger(FAULT_SPREAD_MS);
    const key = `${fault.subject} ${index}`;
    if (!busy.has(key)) {
      injected += 1;
      busy.set(
        key,
        runFault(fault, index, durationMs).finally(() => busy.delete(key)),
      );
    }
    if (busy.size >= MAX_FAULTS) await Promise.race(busy.values());
    await pauseModule.pause(random.nextInteger(SHORTEST_FAULT_MS));
  }
  await Promise.all(busy.values());
  return injected;
}

function print(findings: soakAudit.IFindings): void {
  Object.entries(findings).forEach(([kind, found]) => {
    if (!Array.isArray(found)) return;
    found.slice(0, MAX_PRINTED).forEach((one) => say(`${kind}: ${JSON.stringify(one)}`));
  });
}

async function run(seed: number, minutes: number): Promise<soakTypes.ISoakResult> {
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'soak-'));
  const fleet = new soakFleet.SoakFleet(path.join(__dirname, '..'), folder);
  const targets = new Set(Array.from({ length: DAEMONS }, (_, index) => index));
  const load = new soakLoad.SoakLoad(fleet, targets, new seededRandom.SeededRandom(seed + 1));
  const faults = new soakFaults.SoakFaults(fleet, targets);
  const versions = new VersionWatch(fleet);
  try {
    await fleet.start(DAEMONS);
    load.start();
    const watched = versions.run();
    const endMs = performance.now() + minutes * 60_000;
    const random = new seededRandom.SeededRandom(seed);
    const injected = await inject(faults, fleet, random, endMs);
    await load.stop();
    versions.stop();
    await watched;
    const { calls } = load;
    const findings = soakAudit.audit({
      calls,
      runs: fleet.runs,
      disturbances: faults.disturbances,
    });
    print(findings);
    const countOf = (end: soakTypes.CallEnd) => calls.filter((call) => call.end === end).length;
    return {
      seed,
      faults: injected,
      calls: calls.length,
      answered: countOf('answered'),
      refusedNotRun: countOf('refused-not-run'),
      outcomeUnknown: countOf('unknown'),
      wrongAnswers: findings.wrongAnswers.length,
      falseNotRun: findings.falseNotRun.length,
      doubledRuns: findings.doubledRuns.length,
      cutInFlight: findings.cutInFlight.length,
      workOnLeaving: findings.workOnLeaving.length,
      tableReversions: versions.reversions,
      budgetOverruns: findings.budgetOverruns,
    };
  } finally {
    await fleet.stop();
    await fs.rm(folder, { recursive: true });
  }
}

function parseNumber(text: string): number {
  const value = Number(text);
  if (!Number.isFinite(value) || value < 0) {
    throw new commander.InvalidArgumentError('expected a number from 0');
  }
  return value;
}

async function main(): Promise<void> {
  const program = new commander.Command('soak')
    .description('runs daemons of the platform under random faults, and checks what they promise')
    .option('--seed <number>', 'seed of the faults and of the load', parseNumber, 1)
    .option('--minutes <number>', 'time in which faults begin', parseNumber, 1)
    .parse();
  const { seed, minutes } = program.opts<{ seed: number; minutes: number }>();
  const result = await run(seed, minutes);
  process.stdout.write(`${JSON.stringify(result)}\n`);
  const { wrongAnswers, falseNotRun, doubledRuns, cutInFlight, workOnLeaving } = result;
  const broken = wrongAnswers + falseNotRun + doubledRuns + cutInFlight + workOnLeaving;
  process.exitCode = broken + result.tableReversions + result.budgetOverruns > 0 ? 1 : 0;
}

main().catch((error: Error) => {
  say(error.stack ?? error.message);
  process.exitCode = 1;
});
