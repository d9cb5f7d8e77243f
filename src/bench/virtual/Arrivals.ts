import type * as types from '../../common/Types';
import type * as benchTypes from './Types';

/** Mean work of a prompt call. */
export const MEAN_WORK_MS = 10;
/** Mean work of a long read. */
const MEAN_LONG_MS = 200;
/** Times that a caller sends a crashing call again. */
const CRASHER_RETRIES = 3;

function exponential(random: types.IRandom, mean: number): number {
  return -Math.log(1 - random.next()) * mean;
}

/** Draws the calls of a scenario. Independent of the policy, so that all policies get the same. */
export class Arrivals {
  private nextPromptMs = 0;

  private nextLongMs = Number.POSITIVE_INFINITY;

  private nextCrasherMs = Number.POSITIVE_INFINITY;

  private readonly promptGapMs: number;

  private readonly longGapMs: number;

  public constructor(
    private readonly scenario: benchTypes.IScenario,
    private readonly company: benchTypes.ICompany,
    private readonly random: types.IRandom,
  ) {
    const slots = company.servers * company.slots;
    const longLoad = scenario.longReadUtilization ?? 0;
    const depth = scenario.depth ?? 1;
    this.promptGapMs = (MEAN_WORK_MS * depth) / (slots * (scenario.utilization - longLoad));
    this.longGapMs = longLoad > 0 ? MEAN_LONG_MS / (slots * longLoad) : Number.POSITIVE_INFINITY;
    this.nextPromptMs = this.promptGap();
    if (longLoad > 0) this.nextLongMs = exponential(random, this.longGapMs);
    if (scenario.crasherIntervalMs !== undefined) this.nextCrasherMs = scenario.crasherIntervalMs;
  }

  /** Takes the next calls: one, or all sends of a crashing call at once, in time order. */
  public next(): benchTypes.IArrival {
    const atMs = Math.min(this.nextPromptMs, this.nextLongMs, this.nextCrasherMs);
    const long = atMs === this.nextLongMs;
    const crashes = atMs === this.nextCrasherMs;
    const daemon = this.random.nextInteger(this.company.daemons);
    const worksMs = Array.from({ length: this.scenario.depth ?? 1 }, () =>
      exponential(this.random, long ? MEAN_LONG_MS : MEAN_WORK_MS),
    );
    if (crashes) this.nextCrasherMs = this.crasherAfter(atMs);
    else if (long) this.nextLongMs = atMs + exponential(this.random, this.longGapMs);
    else this.nextPromptMs = atMs + this.promptGap();
    return { atMs, daemon, workMsByDepth: worksMs, isLongRead: long, crashes };
  }

  /** A caller repeats a crashing call after 100 ms, three times in a row. */
  private crasherAfter(atMs: number): number {
    const everyMs = this.scenario.crasherIntervalMs as number;
    const sinceFirstMs = atMs % everyMs;
    if (sinceFirstMs < CRASHER_RETRIES * 100 - 50) return atMs + 100;
    return (Math.floor(atMs / everyMs) + 1) * everyMs;
  }

  private promptGap(): number {
    const factor = this.scenario.loadFactorAt?.(this.nextPromptMs) ?? 1;
    return exponential(this.random, this.promptGapMs / factor);
  }
}
