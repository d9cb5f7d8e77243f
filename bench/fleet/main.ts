import * as tableGenerator from '../../src/common/table/TableGenerator';
import * as gossipBench from './GossipBench';
import * as probeBench from './ProbeBench';
import * as tableBench from './TableBench';

const FLEET_SIZES = [17, 64, 200];

/** Average of the target size: 770 servers in 92 services. */
const TARGET_SERVERS_PER_SERVICE = 8;
const CURRENT_MAX_SERVERS_PER_SERVICE = 15;
const CURRENT_SIZES = { services: 3, servers: 36, maxDaemons: 19 };

function print(name: string, figures: unknown): void {
  process.stdout.write(`${name} ${JSON.stringify(figures)}\n`);
}

async function main(): Promise<void> {
  print('table', await tableBench.measureTable(tableGenerator.TARGET_SIZES));
  print('table', await tableBench.measureTable(CURRENT_SIZES));
  print('probes', probeBench.measureProbes(TARGET_SERVERS_PER_SERVICE));
  print('probes', probeBench.measureProbes(CURRENT_MAX_SERVERS_PER_SERVICE));
  print('framing', { bytesPerExchange: await gossipBench.measureFraming() });
  print('facts', { bytesPerFact: gossipBench.measureFactHeap() });
  FLEET_SIZES.forEach((members) => print('gossip', gossipBench.measureGossip(members)));
}

main().catch((error: Error) => {
  process.stderr.write(`${error.stack ?? error.message}\n`);
  process.exitCode = 1;
});
