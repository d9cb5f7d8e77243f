import * as heapClock from '../../src/common/HeapClock';
import * as ratioBudget from '../../src/common/policy/RatioBudget';
import * as seededRandom from '../../src/common/SeededRandom';
import type * as types from '../../src/common/Types';
import * as fleetShares from '../../src/node/FleetShares';

/** Calls of each daemon in a second, and the share of them that fail everywhere. */
const CALLS_PER_SECOND = 3;
const FAILED_SHARE = 0.2;

const RETRY_FRACTION = 0.2;
const WINDOW_MS = 10_000;

/** Allowance of the fleet beside the fraction, for each daemon and at least. */
const ALLOWANCE_PER_DAEMON = 1.4;
const MIN_ALLOWANCE = 58;

const SETTLE_MS = 5_000;
const MEASURED_MS = 60_000;
const STEP_MS = 100;

/** Retries of a fleet in a minute in which one in five calls fails everywhere. */
export interface IRetryFigures {
  readonly retriesAsked: number;
  readonly retriesGranted: number;
  /** Most retries in a window beyond the fraction and the allowance; 0 if there were none. */
  readonly retryOverrun: number;
}

interface IStep {
  readonly calls: number;
  readonly asked: number;
  readonly retries: number;
}

function makeBudgets(members: number, clock: heapClock.HeapClock, seed: number) {
  const random = new seededRandom.SeededRandom(seed);
  const retryAllowance = Math.max(MIN_ALLOWANCE, Math.ceil(ALLOWANCE_PER_DAEMON * members));
  const options = { retryAllowance, retryWindow: WINDOW_MS };
  const budgets = Array.from({ length: members }, () => {
    const budget = new ratioBudget.RatioBudget(RETRY_FRACTION, clock);
    const limits = {
      appliedDaemonCount: undefined,
      divideServerLimits: () => undefined,
      redistributeServers: () => undefined,
      setRetryReserve: (max: number, rate: number) => budget.setReserve(max, rate),
    };
    const shares = new fleetShares.FleetShares(
      () => options,
      () => members,
      limits,
      clock,
      random,
    );
    shares.start();
    return budget;
  });
  return { budgets, random, retryAllowance };
}

/** Plays one step of calls, of which some fail and ask for a retry. */
function playStep(budgets: readonly ratioBudget.RatioBudget[], random: types.IRandom): IStep {
  const calling = budgets.filter(() => random.next() < (CALLS_PER_SECOND * STEP_MS) / 1_000);
  calling.forEach((budget) => budget.deposit());
  const failed = calling.filter(() => random.next() < FAILED_SHARE);
  const retries = failed.filter((budget) => budget.take()).length;
  return { calls: calling.length, asked: failed.length, retries };
}

function sumOf(steps: readonly IStep[], name: keyof IStep): number {
  return steps.reduce((total, step) => total + step[name], 0);
}

/** Returns how far the retries of any window exceed what the calls in it and the allowance allow. */
function overrunOf(steps: readonly IStep[], allowance: number): number {
  const length = WINDOW_MS / STEP_MS;
  return steps.reduce((most, _step, start) => {
    const window = steps.slice(start, start + length);
    const allowed = RETRY_FRACTION * sumOf(window, 'calls') + allowance;
    return Math.max(most, sumOf(window, 'retries') - allowed);
  }, 0);
}

export function playRetries(members: number, seed: number): IRetryFigures {
  const clock = new heapClock.HeapClock();
  const { budgets, random, retryAllowance } = makeBudgets(members, clock, seed);
  clock.runUntil(SETTLE_MS);
  const steps: IStep[] = [];
  for (let elapsedMs = 0; elapsedMs < MEASURED_MS; elapsedMs += STEP_MS) {
    steps.push(playStep(budgets, random));
    clock.runUntil(SETTLE_MS + elapsedMs + STEP_MS);
  }
  return {
    retriesAsked: sumOf(steps, 'asked'),
    retriesGranted: sumOf(steps, 'retries'),
    retryOverrun: overrunOf(steps, retryAllowance),
  };
}
