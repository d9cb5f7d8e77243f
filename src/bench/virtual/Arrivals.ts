import type * as types from '../../common/Types';
import type * as benchTypes from './Types';

/** Mean service time of a prompt call. */
export const MEAN_WORK_MS = 10;
/** Mean service time of a long read. */
const MEAN_LONG_READ_WORK_MS = 200;
/** Number of times that a caller retries a call that crashes servers. */
const CRASHER_RETRIES = 3;

function drawExponential(random: types.IRandom, mean: number): number {
  return -Math.log(1 - random.next()) * mean;
}

/**
 * Generates the calls of a scenario: Poisson arrivals, and periodic calls that crash servers. The
 * draws do not depend on the policy, so that every policy gets the same calls.
 */
export class Arrivals {
  private nextPromptMs = 0;

  private nextLongReadMs = Number.POSITIVE_INFINITY;

  private nextCrasherMs = Number.POSITIVE_INFINITY;

  private readonly meanPromptIntervalMs: number;

  private readonly meanLongReadIntervalMs: number;

  public constructor(
    private readonly scenario: benchTypes.IScenario,
    private readonly company: benchTypes.ICompany,
    private readonly random: types.IRandom,
  ) {
    const slots = company.servers * company.slots;
    const longReadUtilization = scenario.longReadUtilization ?? 0;
    const depth = scenario.depth ?? 1;
    this.meanPromptIntervalMs =
      (MEAN_WORK_MS * depth) / (slots * (scenario.utilization - longReadUtilization));
    this.meanLongReadIntervalMs =
      longReadUtilization > 0
        ? MEAN_LONG_READ_WORK_MS / (slots * longReadUtilization)
        : Number.POSITIVE_INFINITY;
    this.nextPromptMs = this.drawPromptInterval();
    if (longReadUtilization > 0)
      this.nextLongReadMs = drawExponential(random, this.meanLongReadIntervalMs);
    if (scenario.crasherIntervalMs !== undefined) this.nextCrasherMs = scenario.crasherIntervalMs;
  }

  /** Returns the next call in time order. */
  public next(): benchTypes.IArrival {
    const atMs = Math.min(this.nextPromptMs, this.nextLongReadMs, this.nextCrasherMs);
    const isLongRead = atMs === this.nextLongReadMs;
    const crashes = atMs === this.nextCrasherMs;
    const daemon = this.random.nextInteger(this.company.daemons);
    const workMsByDepth = Array.from({ length: this.scenario.depth ?? 1 }, () =>
      drawExponential(this.random, isLongRead ? MEAN_LONG_READ_WORK_MS : MEAN_WORK_MS),
    );
    if (crashes) this.nextCrasherMs = this.nextCrasherAfter(atMs);
    else if (isLongRead)
      this.nextLongReadMs = atMs + drawExponential(this.random, this.meanLongReadIntervalMs);
    else this.nextPromptMs = atMs + this.drawPromptInterval();
    return { atMs, daemon, workMsByDepth, isLongRead, crashes };
  }

  /**
   * Returns the time of the next call that crashes servers. A caller retries such a call three
   * times, every 100 ms.
   */
  private nextCrasherAfter(atMs: number): number {
    const intervalMs = this.scenario.crasherIntervalMs as number;
    const sinceFirstMs = atMs % intervalMs;
    if (sinceFirstMs < CRASHER_RETRIES * 100 - 50) return atMs + 100;
    return (Math.floor(atMs / intervalMs) + 1) * intervalMs;
  }

  private drawPromptInterval(): number {
    const factor = this.scenario.loadFactorAt?.(this.nextPromptMs) ?? 1;
    return drawExponential(this.random, this.meanPromptIntervalMs / factor);
  }
}
