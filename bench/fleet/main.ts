import * as commander from 'commander';

import * as tableGenerator from '../../src/common/table/TableGenerator';
import * as fleetReport from './FleetReport';
import * as gossipBench from './GossipBench';
import * as probeBench from './ProbeBench';
import * as tableBench from './TableBench';

const FLEET_SIZES = [17, 64, 200];

/** Average of the target size: 770 servers in 92 services. */
const TARGET_SERVERS_PER_SERVICE = 8;
const CURRENT_MAX_SERVERS_PER_SERVICE = 15;
const CURRENT_SIZES = { services: 3, servers: 36, maxDaemons: 19 };

const MAX_MEMBERS = 2_000;

interface IFleetOptions {
  readonly members?: number;
  readonly seed: number;
  readonly kill: number;
  readonly json?: boolean;
}

function print(name: string, figures: unknown): void {
  process.stdout.write(`${name} ${JSON.stringify(figures)}\n`);
}

async function measureCosts(): Promise<void> {
  print('table', await tableBench.measureTable(tableGenerator.TARGET_SIZES));
  print('table', await tableBench.measureTable(CURRENT_SIZES));
  print('probes', probeBench.measureProbes(TARGET_SERVERS_PER_SERVICE));
  print('probes', probeBench.measureProbes(CURRENT_MAX_SERVERS_PER_SERVICE));
  print('framing', { bytesPerExchange: await gossipBench.measureFraming() });
  print('facts', { bytesPerFact: gossipBench.measureFactHeap() });
  FLEET_SIZES.forEach((members) => print('gossip', gossipBench.measureGossip(members)));
}

function printReport(report: fleetReport.IFleetReport, isJson: boolean): void {
  if (!isJson) {
    Object.entries(report).forEach(([name, value]) => process.stdout.write(`${name} ${value}\n`));
  }
  process.stdout.write(`${JSON.stringify(report)}\n`);
}

function parseInteger(min: number, max: number): (text: string) => number {
  return (text) => {
    const value = Number(text);
    if (!/^\d+$/.test(text) || value < min || value > max) {
      throw new commander.InvalidArgumentError(`expected an integer from ${min} to ${max}`);
    }
    return value;
  };
}

function parseShare(text: string): number {
  const value = Number(text);
  if (text.trim() === '' || !(value >= 0 && value < 1)) {
    throw new commander.InvalidArgumentError('expected a share from 0 to less than 1');
  }
  return value;
}

async function main(): Promise<void> {
  const program = new commander.Command('bench:fleet')
    .description('Measures what daemons do together. Without --members, the costs of one daemon.')
    .option(
      '--members <number>',
      'plays a fleet of this size on the virtual clock',
      parseInteger(1, MAX_MEMBERS),
    )
    .option('--seed <number>', 'random seed', parseInteger(0, Number.MAX_SAFE_INTEGER), 1)
    .option('--kill <share>', 'share of the daemons that are killed at once', parseShare, 0)
    .option('--json', 'prints the JSON line alone')
    .parse();
  const { members, seed, kill, json = false } = program.opts<IFleetOptions>();
  if (members === undefined) await measureCosts();
  else printReport(fleetReport.reportFleet(members, seed, kill), json);
}

main().catch((error: Error) => {
  process.stderr.write(`${error.stack ?? error.message}\n`);
  process.exitCode = 1;
});
