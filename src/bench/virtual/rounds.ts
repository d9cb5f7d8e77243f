import * as fs from 'node:fs/promises';

import * as commander from 'commander';

import * as companies from './Companies';
import * as comparison from './Comparison';
import * as scenarios from './Scenarios';
import * as simulation from './Simulation';
import type * as benchTypes from './Types';

interface RoundsFlags {
  readonly company: string;
  readonly scenarios: string;
  readonly seeds: string;
  readonly seconds: string;
  readonly probes: string;
  readonly reference?: string;
}

type ReferenceResults = Record<string, Record<string, number>>;

/** Reads the p99 of the other policies, which a change of the default policy does not affect. */
async function readReferences(path: string | undefined): Promise<ReferenceResults> {
  if (path === undefined) return {};
  try {
    return JSON.parse(await fs.readFile(path, 'utf8')) as ReferenceResults;
  } catch {
    return {};
  }
}

function p99Of(options: benchTypes.ISimulationOptions): number {
  return new simulation.Simulation(options).run().figures.p99Ms;
}

function referenceOf(options: benchTypes.ISimulationOptions): Record<string, number> {
  const names = ['probing', 'oracle', ...comparison.BASELINES];
  return Object.fromEntries(names.map((policy) => [policy, p99Of({ ...options, policy })]));
}

function runSeed(options: benchTypes.ISimulationOptions, references: ReferenceResults): void {
  const { company, scenario, seed } = options;
  const key = `${company.name} ${scenario.name} ${seed} ${options.durationMs}`;
  const reference = references[key] ?? referenceOf(options);
  Object.assign(references, { [key]: reference });
  const { figures } = new simulation.Simulation(options).run();
  const bestMs = Math.min(...comparison.BASELINES.map((name) => reference[name] as number));
  const oracleMs = reference.oracle as number;
  const gapClosed = (bestMs - figures.p99Ms) / (bestMs - oracleMs);
  const cells = [
    scenario.name.padEnd(10),
    `seed ${seed}`,
    `own ${figures.p99Ms.toFixed(1)}`,
    `best baseline ${bestMs.toFixed(1)}`,
    `probing ${(reference.probing as number).toFixed(1)}`,
    `oracle ${oracleMs.toFixed(1)}`,
    `gapClosed ${gapClosed.toFixed(3)}`,
    `p999 ${figures.p999Ms.toFixed(1)}`,
    `lost ${figures.refusedNotRun}+${figures.late}/${figures.calls}`,
    `attempts ${figures.attemptsPerCall.toFixed(3)}`,
    `probes ${figures.probesPerAnsweredCall.toFixed(3)}`,
  ];
  process.stdout.write(`${cells.join('  ')}\n`);
}

/** Prints one line for each scenario and seed, to compare versions of the default policy. */
async function run(flags: RoundsFlags): Promise<void> {
  const company = companies.COMPANIES.get(flags.company) as benchTypes.ICompany;
  const references = await readReferences(flags.reference);
  flags.scenarios.split(',').forEach((name) => {
    const scenario = scenarios.SCENARIOS.get(name) as benchTypes.IScenario;
    flags.seeds.split(',').forEach((seed) => {
      const options = {
        scenario,
        company,
        policy: 'load-aware',
        seed: Number(seed),
        durationMs: Number(flags.seconds) * 1_000,
        probesPerSecond: Number(flags.probes),
        allFeatures: false,
      };
      runSeed(options, references);
    });
  });
  if (flags.reference !== undefined) {
    await fs.writeFile(flags.reference, JSON.stringify(references));
  }
}

new commander.Command('rounds')
  .description('Compare the default policy with the others over scenarios and seeds')
  .option('--company <name>', 'sizes of the fleet', 'ogunleye')
  .option('--scenarios <names>', 'comma-separated', [...scenarios.SCENARIOS.keys()].join(','))
  .option('--seeds <numbers>', 'comma-separated', '1,2,3')
  .option('--seconds <n>', 'virtual seconds of load', '30')
  .option('--probes <n>', 'probes per second of the fleet', '34')
  .option('--reference <file>', 'file that caches the results of the other policies between runs')
  .action(run)
  .parseAsync()
  .catch((error: Error) => {
    process.stderr.write(`${error.message}\n`);
    process.exitCode = 1;
  });
