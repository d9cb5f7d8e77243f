import * as tableGenerator from '../../src/common/table/TableGenerator';
import * as tableBench from './TableBench';

async function main(): Promise<void> {
  const figures = await tableBench.measureTable(tableGenerator.TARGET_SIZES);
  process.stdout.write(`${JSON.stringify(figures)}\n`);
}

main().catch((error: Error) => {
  process.stderr.write(`${error.stack ?? error.message}\n`);
  process.exitCode = 1;
});
