import * as fs from 'node:fs/promises';

import * as commander from 'commander';

import * as companies from './Companies';
import * as report from './Report';
import * as scenarios from './Scenarios';
import * as simulation from './Simulation';
import type * as benchTypes from './Types';

/** Probe budgets of the fleet, in probes per second: none, then multiples of one per daemon. */
const BUDGETS: readonly number[] = [0, 17, 34, 85, 170, 340, 680];
const SCENARIOS: readonly string[] = ['steady', 'straggler', 'noisy', 'lying', 'drain'];

interface CostFlags {
  readonly company: string;
  readonly seeds: string;
  readonly seconds: string;
  readonly report: string;
}

function meanP99Of(
  company: benchTypes.ICompany,
  scenarioName: string,
  probesPerSecond: number,
  flags: CostFlags,
): number {
  const scenario = scenarios.SCENARIOS.get(scenarioName) as benchTypes.IScenario;
  const durationMs = Number(flags.seconds) * 1_000;
  const common = { scenario, company, policy: 'load-aware', durationMs, allFeatures: false };
  const seeds = flags.seeds.split(',').map(Number);
  const sumMs = seeds.reduce((sum, seed) => {
    const result = new simulation.Simulation({ ...common, seed, probesPerSecond }).run();
    return sum + result.figures.p99Ms;
  }, 0);
  return sumMs / seeds.length;
}

/** Prints the p99 for each probe budget, and plots it over the budget. */
async function run(flags: CostFlags): Promise<void> {
  const company = companies.COMPANIES.get(flags.company) as benchTypes.ICompany;
  const curves = SCENARIOS.map((name) => {
    const points = BUDGETS.map((budget): [number, number] => [
      budget,
      Number(meanP99Of(company, name, budget, flags).toFixed(2)),
    ]);
    const columns = points.map(([, p99Ms]) => p99Ms.toFixed(1).padStart(7)).join('');
    process.stdout.write(`${name.padEnd(12)}${columns}\n`);
    return { name, points };
  });
  const drawing = report.drawSvg({
    title: `p99 latency by probe budget: ${company.name}`,
    xName: 'probes per second of the fleet',
    yName: 'p99 (ms)',
    xType: 'value',
    yType: 'value',
    curves,
  });
  await fs.writeFile(flags.report, drawing);
}

new commander.Command('measuringCost')
  .description('Plot the p99 latency of the default policy over the probe budget')
  .option('--company <name>', 'sizes of the fleet', 'ogunleye')
  .option('--seeds <numbers>', 'comma-separated', '1,2')
  .option('--seconds <n>', 'virtual seconds of load', '20')
  .requiredOption('--report <file>', 'SVG file to write')
  .action(run)
  .parseAsync()
  .catch((error: Error) => {
    process.stderr.write(`${error.message}\n`);
    process.exitCode = 1;
  });
