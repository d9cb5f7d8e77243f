import * as perfHooks from 'node:perf_hooks';

import * as manualClock from '../../src/common/ManualClock';
import * as probeBudget from '../../src/common/probing/ProbeBudget';
import * as probeScheduler from '../../src/common/probing/ProbeScheduler';
import * as tableGenerator from '../../src/common/table/TableGenerator';
import * as tableParser from '../../src/common/table/TableParser';

const ROUNDS = 2_000;

/** Figures of the probes of one daemon. */
export interface IProbeFigures {
  readonly servers: number;
  /** Choice of a server among all, with a permit taken and returned. */
  readonly probeMs: number;
}

export function measureProbes(sizes: tableGenerator.ITableSizes): IProbeFigures {
  const parsed = tableParser.TableParser.parse(tableGenerator.generateTable(sizes, 1));
  if (!parsed.ok) throw new Error('the generated table is not valid');
  const clock = new manualClock.ManualClock();
  const budget = new probeBudget.ProbeBudget(clock);
  budget.applyTable(parsed.value);
  const scheduler = new probeScheduler.ProbeScheduler(budget, clock);
  const candidates = [...parsed.value.servers.values()]
    .flat()
    .map(({ service, address }) => ({ service, address, reportedAtMs: undefined }));
  clock.advance(10_000);
  let totalMs = 0;
  for (let round = 0; round < ROUNDS * 2; round += 1) {
    clock.advance(50);
    const startMs = perfHooks.performance.now();
    scheduler.take(candidates)?.replied();
    if (round >= ROUNDS) totalMs += perfHooks.performance.now() - startMs;
  }
  return { servers: sizes.servers, probeMs: totalMs / ROUNDS };
}
