import * as manualClock from '../src/common/ManualClock';
import * as probeBudget from '../src/common/probing/ProbeBudget';
import type * as probingTypes from '../src/common/probing/Types';
import * as seededRandom from '../src/common/SeededRandom';
import * as tableParser from '../src/common/table/TableParser';
import * as probeSpecification from './ProbeSpecification';
import * as traces from './Traces';

const TICK_MS = 500;
const SERVICE = 'status';

interface RealDaemon {
  budget: probeBudget.ProbeBudget;
  permit: probingTypes.IProbePermit | undefined;
}

/** Daemons of the specification, each with a `ProbeBudget` of the product. */
class RealDaemons {
  private readonly clock = new manualClock.ManualClock();

  private readonly daemons: RealDaemon[];

  public constructor(private readonly count: number) {
    this.daemons = Array.from({ length: count }, () => this.start());
  }

  public apply(event: probeSpecification.ProbeEvent): void {
    if (event.type === 'tick') {
      this.clock.advance(TICK_MS);
      return;
    }
    const daemon = this.daemons[event.daemon] as RealDaemon;
    if (event.type === 'restart') this.daemons[event.daemon] = this.start();
    if (event.type === 'send') daemon.permit = daemon.budget.take(SERVICE);
    if (event.type === 'receive-reply') daemon.permit?.replied();
    if (event.type === 'time-out') daemon.permit?.timedOut();
  }

  public get maySend(): boolean[] {
    return this.daemons.map(({ budget }) => budget.canTake(SERVICE));
  }

  private start(): RealDaemon {
    const lines = [
      'kind,name,version,max_daemons,idempotent,deadline_ms,probes_per_second',
      `table,,1,${this.count},,,`,
      `service,${SERVICE},,,yes,1000,${this.count}`,
    ];
    const parsed = tableParser.TableParser.parse(lines.join('\n'));
    if (!parsed.ok) throw new Error(JSON.stringify(parsed.error));
    const budget = new probeBudget.ProbeBudget(this.clock);
    budget.applyTable(parsed.value);
    return { budget, permit: undefined };
  }
}

function replay(
  specification: probeSpecification.ProbeSpecification,
  events: readonly probeSpecification.ProbeEvent[],
): void {
  let state = specification.initial;
  const real = new RealDaemons(state.daemons.length);
  events.forEach((event) => {
    state = specification.next(state, event);
    real.apply(event);
    const specified = state.daemons.map(({ permits }) =>
      permits.some(({ wait, age }) => wait === 0 && age === -1),
    );
    expect(real.maySend).toEqual(specified);
  });
}

test('the probe budget matches the specification on a trace to every state with two daemons', () => {
  const specification = new probeSpecification.ProbeSpecification(undefined, 2);
  traces.tracesToAllStates(specification).forEach((events) => replay(specification, events));
});

test('the probe budget matches the specification on long random traces with three daemons', () => {
  const specification = new probeSpecification.ProbeSpecification();
  const random = new seededRandom.SeededRandom(13);
  for (let run = 0; run < 50; run += 1) {
    replay(specification, traces.randomTrace(specification, 200, random));
  }
});
