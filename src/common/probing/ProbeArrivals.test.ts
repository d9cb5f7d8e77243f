import * as fastCheck from 'fast-check';

import * as manualClock from '../ManualClock';
import type * as tableTypes from '../table/Types';
import type * as types from '../Types';
import * as tableParser from '../table/TableParser';
import * as probeBudget from './ProbeBudget';

const SEED = 20_261_204;
const MAX_DAEMONS = 4;
/** One permit for each daemon, so that a second probe of any daemon exceeds the budget. */
const FLEET_BUDGET = MAX_DAEMONS;
const STEP_MS = 50;
const TIMEOUT_MS = 500;
/** Design assumption: a probe arrives at most this long after its connection is closed. */
const LATEST_ARRIVAL_MS = 1_000;

function tableOf(): tableTypes.ITable {
  const parsed = tableParser.TableParser.parse(
    [
      'kind,name,version,max_daemons,idempotent,deadline_ms,probes_per_second',
      `table,,1,${MAX_DAEMONS},,,`,
      `service,status,,,yes,1000,${FLEET_BUDGET}`,
    ].join('\n'),
  );
  if (!parsed.ok) throw new Error(JSON.stringify(parsed.error));
  return parsed.value;
}

const TABLE = tableOf();

interface IFleetEvent {
  readonly kind: 'restart' | 'pause' | 'cut' | 'heal';
  readonly daemon: number;
  readonly atStep: number;
  readonly steps: number;
}

const fleetEvent: fastCheck.Arbitrary<IFleetEvent> = fastCheck.record({
  kind: fastCheck.constantFrom('restart', 'pause', 'cut', 'heal'),
  daemon: fastCheck.nat(MAX_DAEMONS - 1),
  atStep: fastCheck.nat(200),
  steps: fastCheck.integer({ min: 1, max: 60 }),
});

/** Fate of one probe in the network. Times are relative to its sending. */
interface INetworkOutcome {
  readonly arrivesAfterMs: number;
  readonly replyAfterMs: number | undefined;
}

const networkOutcome: fastCheck.Arbitrary<INetworkOutcome> = fastCheck.oneof(
  fastCheck.record({
    arrivesAfterMs: fastCheck.nat(200),
    replyAfterMs: fastCheck.integer({ min: 200, max: TIMEOUT_MS - 1 }),
  }),
  fastCheck.record({
    arrivesAfterMs: fastCheck.nat(TIMEOUT_MS + LATEST_ARRIVAL_MS),
    replyAfterMs: fastCheck.constant(undefined),
  }),
);

/** Simulates daemons that probe whenever the budget allows, and records arrivals at the servers. */
class ProbingFleet {
  public readonly arrivalsAtMs: number[] = [];

  public readonly sentBy = new Map<number, number>();

  private readonly clock = new manualClock.ManualClock();

  private readonly budgets: probeBudget.ProbeBudget[] = [];

  private readonly pausedUntilMs: number[] = Array(MAX_DAEMONS).fill(0);

  private readonly isPartitioned: boolean[] = Array(MAX_DAEMONS).fill(false);

  /** Future arrivals of each daemon's probes. */
  private pendingArrivals: { atMs: number; timer: types.IDisposable }[][] = [];

  private probeCount = 0;

  public constructor(private readonly outcomes: readonly INetworkOutcome[]) {
    for (let index = 0; index < MAX_DAEMONS; index += 1) this.restart(index);
  }

  public apply({ kind, daemon, steps }: IFleetEvent): void {
    if (kind === 'restart') this.restart(daemon);
    else if (kind === 'cut') this.isPartitioned[daemon] = true;
    else if (kind === 'heal') this.isPartitioned[daemon] = false;
    else this.pausedUntilMs[daemon] = this.clock.monotonicMs() + steps * STEP_MS;
  }

  public advance(): void {
    this.clock.advance(STEP_MS);
    this.budgets.forEach((budget, index) => this.sendAll(budget, index));
  }

  /** A process exit closes its connections, so its probes arrive within LATEST_ARRIVAL_MS. */
  private restart(index: number): void {
    const lastMs = this.clock.monotonicMs() + LATEST_ARRIVAL_MS;
    const late = (this.pendingArrivals[index] ?? []).filter(({ atMs }) => atMs > lastMs);
    late.forEach(({ timer }) => timer.dispose());
    this.pendingArrivals[index] = [];
    late.forEach(() => this.arrive(index, LATEST_ARRIVAL_MS));
    const budget = new probeBudget.ProbeBudget(this.clock);
    budget.applyTable(TABLE);
    this.budgets[index] = budget;
    this.pausedUntilMs[index] = 0;
  }

  private arrive(index: number, afterMs: number): void {
    const atMs = this.clock.monotonicMs() + afterMs;
    const timer = this.clock.setTimer(afterMs, () => this.arrivalsAtMs.push(atMs));
    this.pendingArrivals[index]?.push({ atMs, timer });
  }

  private isPaused(index: number): boolean {
    return this.clock.monotonicMs() < (this.pausedUntilMs[index] as number);
  }

  private sendAll(budget: probeBudget.ProbeBudget, index: number): void {
    while (!this.isPaused(index) && budget.canTake('status')) this.send(budget, index);
  }

  private send(budget: probeBudget.ProbeBudget, index: number): void {
    const permit = budget.take('status');
    const outcome = this.outcomes[this.probeCount % this.outcomes.length] as INetworkOutcome;
    this.probeCount += 1;
    this.sentBy.set(index, (this.sentBy.get(index) ?? 0) + 1);
    this.arrive(index, outcome.arrivesAfterMs);
    // A partitioned daemon gets no replies, although its probes may have arrived.
    const isLost = outcome.replyAfterMs === undefined || this.isPartitioned[index];
    const afterMs = isLost ? TIMEOUT_MS : outcome.replyAfterMs;
    const end = () => (isLost ? permit?.timedOut() : permit?.replied());
    this.clock.setTimer(afterMs, () => this.runAfterPause(budget, index, end));
  }

  /** A paused process handles replies and timeouts only when it resumes. */
  private runAfterPause(budget: probeBudget.ProbeBudget, index: number, end: () => void): void {
    if (!this.isPaused(index)) {
      end();
      return;
    }
    const waitMs = (this.pausedUntilMs[index] as number) - this.clock.monotonicMs();
    this.clock.setTimer(waitMs, () => {
      budget.onPaused();
      end();
    });
  }
}

/** Brute-force count: for each arrival, all arrivals less than one second later. */
function maxArrivalsInOneSecond(arrivalsAtMs: readonly number[]): number {
  const counts = arrivalsAtMs.map(
    (startMs) =>
      arrivalsAtMs.filter((timeMs) => timeMs >= startMs && timeMs - startMs < 1_000).length,
  );
  return Math.max(0, ...counts);
}

function run(
  events: readonly IFleetEvent[],
  outcomes: readonly INetworkOutcome[],
  steps = 300,
): ProbingFleet {
  const fleet = new ProbingFleet(outcomes);
  for (let index = 0; index < steps; index += 1) {
    events.filter(({ atStep }) => atStep === index).forEach((event) => fleet.apply(event));
    fleet.advance();
  }
  return fleet;
}

test('arrivals in any second stay within the budget despite restarts, pauses, partitions', () => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(fleetEvent, { maxLength: 20, size: 'max' }),
      fastCheck.array(networkOutcome, { minLength: 1, maxLength: 20 }),
      (events, outcomes) => {
        const { arrivalsAtMs } = run(events, outcomes);
        expect(maxArrivalsInOneSecond(arrivalsAtMs)).toBeLessThanOrEqual(FLEET_BUDGET);
      },
    ),
    { seed: SEED, numRuns: 150 },
  );
});

test('without faults each daemon uses its whole share', () => {
  const fleet = run([], [{ arrivesAfterMs: 1, replyAfterMs: 200 }], 200);
  const share = Math.floor(FLEET_BUDGET / MAX_DAEMONS);
  // 10 s: 2 s without probes after the start, then one probe per permit every 1.2 s.
  expect([...fleet.sentBy.values()]).toEqual(Array(MAX_DAEMONS).fill(7 * share));
});

test('the arrival count detects an exceeded budget', () => {
  expect(maxArrivalsInOneSecond([0, 10, 999, 1_000])).toBe(3);
});
