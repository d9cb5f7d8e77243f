import * as fs from 'node:fs/promises';

import * as commander from 'commander';

import * as overhead from '../../bench/overhead/Overhead';
import * as live from '../../bench/live/Live';
import * as companies from '../../bench/virtual/Companies';
import * as comparison from '../../bench/virtual/Comparison';
import * as report from '../../bench/virtual/Report';
import * as scenarios from '../../bench/virtual/Scenarios';
import type * as benchTypes from '../../bench/virtual/Types';
import * as policyFactory from '../../common/policy/PolicyFactory';

const DEFAULT_DURATION_SECONDS = 30;
/** Two probes per daemon and second, see docs/decisions/measuring-cost.md. */
const DEFAULT_PROBES_PER_SECOND = 34;

/** Scenario that measures what a daemon adds to a call, with real processes. */
const OVERHEAD_SCENARIO = 'overhead';
// A concurrency of 2 keeps every process below saturation; above, latency is queueing delay only.
const OVERHEAD_OPTIONS = { calls: 20_000, concurrency: 2, rounds: 10 };

interface BenchFlags {
  readonly seed: number;
  readonly policy: string;
  readonly company: string;
  readonly seconds: number;
  readonly probes: number;
  readonly virtual?: boolean;
  readonly live?: boolean;
  readonly allFeatures?: boolean;
  readonly report?: string;
}

function write(line: string): void {
  process.stdout.write(`${line}\n`);
}

function writeTable(result: comparison.IComparison): void {
  const header = ['policy', 'answered', 'notRun', 'late', 'p50Ms', 'p99Ms', 'p999Ms', 'probes/s'];
  const formatRow = (cells: readonly (string | number)[]): string =>
    cells
      .map((cell, index) => (index === 0 ? String(cell).padEnd(16) : String(cell).padStart(10)))
      .join('');
  write(formatRow(header));
  result.results.forEach(({ figures }, name) => {
    const { answered, refusedNotRun, late, p50Ms, p99Ms, p999Ms, probesPerSecond } = figures;
    write(formatRow([name, answered, refusedNotRun, late, p50Ms, p99Ms, p999Ms, probesPerSecond]));
  });
}

async function writeReport(
  path: string,
  options: benchTypes.ISimulationOptions,
  result: comparison.IComparison,
): Promise<void> {
  const title = `${options.scenario.name}, ${options.company.name}, seed ${options.seed}`;
  const drawing = report.drawSvg({
    title: `Share of calls slower than a latency: ${title}`,
    xName: 'latency (ms)',
    yName: 'share of calls',
    xType: 'log',
    yType: 'log',
    curves: [...result.results].map(([name, run]) => report.tailCurve(name, run.latenciesMs)),
  });
  const content = path.endsWith('.svg') ? drawing : report.toHtml(title, [drawing]);
  await fs.writeFile(path, content);
}

async function benchLive(scenario: string, flags: BenchFlags): Promise<void> {
  const policies = [flags.policy, ...policyFactory.POLICY_NAMES].filter(
    (name) => name !== 'oracle',
  );
  const { seed, seconds } = flags;
  const options = { scenario, policies: [...new Set(policies)], seed, seconds };
  const result = await live.runLive(options, (policy, { answered, p50Ms, p99Ms, p999Ms }) => {
    write(`${policy}: ${answered} answered, p50 ${p50Ms}, p99 ${p99Ms}, p99.9 ${p999Ms} ms`);
  });
  write(JSON.stringify(result));
}

async function bench(scenarioName: string, flags: BenchFlags): Promise<void> {
  if (scenarioName === OVERHEAD_SCENARIO) {
    write(JSON.stringify(await overhead.runOverhead(OVERHEAD_OPTIONS)));
    return;
  }
  if (flags.live === true) {
    await benchLive(scenarioName, flags);
    return;
  }
  const scenario = scenarios.SCENARIOS.get(scenarioName);
  const company = companies.COMPANIES.get(flags.company);
  if (scenario === undefined || company === undefined) throw new Error('unknown scenario');
  const options = {
    scenario,
    company,
    policy: flags.policy,
    seed: flags.seed,
    durationMs: flags.seconds * 1_000,
    probesPerSecond: flags.probes,
    allFeatures: flags.allFeatures === true,
  };
  const result = comparison.compare(options);
  writeTable(result);
  if (flags.report !== undefined) await writeReport(flags.report, options, result);
  write(JSON.stringify(comparison.toJson(options, result)));
}

function parseNonNegative(text: string): number {
  const value = Number(text);
  if (!Number.isFinite(value) || value < 0) {
    throw new commander.InvalidArgumentError('expected a number that is not negative');
  }
  return value;
}

/** Registers the command `bench`. */
export function register(program: commander.Command): void {
  const scenario = new commander.Argument('<scenario>', 'workload and faults to run').choices([
    ...scenarios.SCENARIOS.keys(),
    OVERHEAD_SCENARIO,
  ]);
  const policy = new commander.Option('--policy <name>', 'policy to compare')
    .choices([...policyFactory.POLICY_NAMES, 'oracle'])
    .default(policyFactory.DEFAULT_POLICY);
  const company = new commander.Option('--company <name>', 'size of the fleet')
    .choices([...companies.COMPANIES.keys()])
    .default('ogunleye');
  program
    .command('bench')
    .description('Compare a selection policy with baselines and an oracle')
    .addArgument(scenario)
    .option('--seed <n>', 'random seed of load, faults and selection', parseNonNegative, 1)
    .addOption(policy)
    .option('--virtual', 'run on a virtual clock (the default)')
    .option('--live', 'run over real daemons: steady, straggler, noisy, fastfail or drain')
    .addOption(company)
    .option('--seconds <n>', 'virtual seconds of load', parseNonNegative, DEFAULT_DURATION_SECONDS)
    .option(
      '--probes <n>',
      'probes per second of the fleet',
      parseNonNegative,
      DEFAULT_PROBES_PER_SECOND,
    )
    .option('--all-features', 'enable hedging and outlier ejection for all policies')
    .option('--report <file>', 'write latency curves to an SVG or HTML file')
    .action(bench);
}
