import * as perfHooks from 'node:perf_hooks';
import * as timers from 'node:timers/promises';

import * as tableDiff from '../../src/common/table/TableDiff';
import * as tableGenerator from '../../src/common/table/TableGenerator';
import * as tableParser from '../../src/common/table/TableParser';

const ROUNDS = 40;

/** Results of one table. */
export interface ITableFigures {
  readonly servers: number;
  readonly services: number;
  readonly bytes: number;
  /** First parse in the process, before JIT compilation. */
  readonly firstParseMs: number;
  /** Median and maximum time for which a parse in one go blocks the event loop. */
  readonly wholeMs: number;
  readonly wholeMaxMs: number;
  /** Median and maximum of the longest time for which a sliced parse blocks the event loop. */
  readonly longestSliceMs: number;
  readonly longestSliceMaxMs: number;
  /** Median of the total time of a sliced parse. */
  readonly slicedTotalMs: number;
  readonly diffMs: number;
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

function measureMs(action: () => unknown): number {
  const startMs = perfHooks.performance.now();
  action();
  return perfHooks.performance.now() - startMs;
}

async function measureSlices(text: string): Promise<{ longestMs: number; totalMs: number }> {
  const startMs = perfHooks.performance.now();
  let sliceStartMs = startMs;
  let longestMs = 0;
  await tableParser.TableParser.parseInSlices(text, async () => {
    longestMs = Math.max(longestMs, perfHooks.performance.now() - sliceStartMs);
    await timers.setImmediate();
    sliceStartMs = perfHooks.performance.now();
  });
  const endMs = perfHooks.performance.now();
  return { longestMs: Math.max(longestMs, endMs - sliceStartMs), totalMs: endMs - startMs };
}

/** Measures parsing and diffing with a generated table. */
export async function measureTable(sizes: tableGenerator.ITableSizes): Promise<ITableFigures> {
  const text = tableGenerator.generateTable(sizes, 1);
  const next = tableGenerator.generateTable(sizes, 2);
  const firstParseMs = measureMs(() => tableParser.TableParser.parse(text));
  const whole = Array.from({ length: ROUNDS }, () =>
    measureMs(() => tableParser.TableParser.parse(text)),
  );
  const sliced: { longestMs: number; totalMs: number }[] = [];
  for (let round = 0; round < ROUNDS; round += 1) sliced.push(await measureSlices(text));
  const [before, after] = [
    tableParser.TableParser.parse(text),
    tableParser.TableParser.parse(next),
  ];
  if (!before.ok || !after.ok) throw new Error('the generated table is not valid');
  return {
    servers: sizes.servers,
    services: sizes.services,
    bytes: Buffer.byteLength(text),
    firstParseMs,
    wholeMs: median(whole),
    wholeMaxMs: Math.max(...whole),
    longestSliceMs: median(sliced.map(({ longestMs }) => longestMs)),
    longestSliceMaxMs: Math.max(...sliced.map(({ longestMs }) => longestMs)),
    slicedTotalMs: median(sliced.map(({ totalMs }) => totalMs)),
    diffMs: measureMs(() => tableDiff.diffTables(before.value, after.value)),
  };
}
