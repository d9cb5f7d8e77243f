import type * as checkBudget from '../policy/CheckBudget';

/** Delay before the first recheck, in milliseconds; a tenth of a server's typical slow period. */
const FIRST_DELAY_MS = 15;

/** Longest delay, in milliseconds: below the typical slow period and the time of short requests. */
const MAX_DELAY_MS = 60;

/** Factor of the delay from one recheck without room to the next. */
const GROWTH = 1.5;

/** Checks of one recheck. */
const ROUNDS = 2;

/** Permits of a scarce budget that accrue for each check of a recheck; the others are for new calls. */
const SCARCE_PERMITS = 4;

/** Decides how often the servers are checked again while calls wait. */
export class RecheckPace {
  private delayMs = FIRST_DELAY_MS;

  public constructor(private readonly budget: checkBudget.CheckBudget) {}

  /** Records that a call got room or began to wait. */
  public quicken(): void {
    this.delayMs = FIRST_DELAY_MS;
  }

  /** Returns the delay before the next recheck, in milliseconds. */
  public next(): number {
    const { delayMs } = this;
    this.delayMs = Math.min(MAX_DELAY_MS, GROWTH * delayMs);
    if (!this.budget.isScarce) return delayMs;
    return Math.max(MAX_DELAY_MS, SCARCE_PERMITS * this.budget.intervalMs);
  }

  /** Number of checks of the next recheck. */
  public get rounds(): number {
    return this.budget.isScarce ? 1 : ROUNDS;
  }
}
