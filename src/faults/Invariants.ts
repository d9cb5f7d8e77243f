import type * as faultFleet from './FaultFleet';

const SAMPLE_INTERVAL_MS = 100;
const SECOND_MS = 1_000;

/** Samples the active table version of each daemon, across restarts. */
export class TableVersionMonitor {
  /** Number of samples in which a ready daemon had a lower version than before. */
  public reversions = 0;

  private readonly highestVersions = new Map<number, number>();

  private readonly timer = setInterval(() => {
    this.fleet.daemons.forEach((_, index) => {
      this.sample(index).catch(() => undefined);
    });
  }, SAMPLE_INTERVAL_MS);

  public constructor(private readonly fleet: faultFleet.FaultFleet) {}

  public stop(): void {
    clearInterval(this.timer);
  }

  private async sample(index: number): Promise<void> {
    const daemon = this.fleet.daemon(index);
    const before = this.highestVersions.get(index) ?? 0;
    if (!(await daemon.isReady())) return;
    const version = await daemon.tableVersion();
    if (version === undefined) return;
    if (version < before) this.reversions += 1;
    this.highestVersions.set(index, Math.max(version, this.highestVersions.get(index) ?? 0));
  }
}

/** Counts the probes that exceed the budget within any window of one second. */
export function countBudgetOverruns(probesMs: readonly number[], perSecond: number): number {
  const sorted = [...probesMs].sort((first, second) => first - second);
  return sorted.filter((atMs, position) => {
    const earliest = sorted[position - perSecond];
    return earliest !== undefined && atMs - earliest < SECOND_MS;
  }).length;
}
