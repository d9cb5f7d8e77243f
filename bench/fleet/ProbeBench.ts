import * as perfHooks from 'node:perf_hooks';

import * as loadAwarePolicy from '../../src/common/policy/LoadAwarePolicy';
import * as prober from '../../src/common/policy/Prober';
import * as probeBudget from '../../src/common/probing/ProbeBudget';
import * as seededRandom from '../../src/common/SeededRandom';
import * as fixtures from '../../src/common/testing/Fixtures';

const ROUNDS = 5_000;

/** Time until a permit can be reused after its probe timed out. */
const PERMIT_REUSE_MS = 2_000;

/** Results of the probes of one service at one daemon. */
export interface IProbeFigures {
  readonly servers: number;
  /** Time to select a server and to take and return a permit. */
  readonly probeMs: number;
}

export function measureProbes(servers: number): IProbeFigures {
  const rig = fixtures.makeRig({ probesPerSecond: 20 }, servers);
  const budget = new probeBudget.ProbeBudget(rig.clock);
  budget.applyTable(rig.table);
  const policy = new loadAwarePolicy.LoadAwarePolicy(new seededRandom.SeededRandom(1));
  const serviceBudget = {
    get hasFree() {
      return budget.canTake('status');
    },
    take: () => budget.take('status'),
  };
  const serviceProber = new prober.Prober(
    rig.balancer,
    policy,
    serviceBudget,
    rig.transport,
    rig.clock,
  );
  let totalMs = 0;
  for (let round = 0; round < ROUNDS * 2; round += 1) {
    rig.clock.advance(PERMIT_REUSE_MS);
    const startMs = perfHooks.performance.now();
    serviceProber.onCallStarted();
    if (round >= ROUNDS) totalMs += perfHooks.performance.now() - startMs;
  }
  return { servers, probeMs: totalMs / ROUNDS };
}
