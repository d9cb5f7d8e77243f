import type * as deployedDaemon from '../platform/testing/DeployedDaemon';
import * as pauseModule from '../standin/pause';
import type * as soakFleet from './SoakFleet';
import type * as soakTypes from './Types';

const SAMPLE_INTERVAL_MS = 100;

/** Time for a reply above which a daemon counts as short of processor time, in milliseconds. */
const SLOW_REPLY_MS = 500;

/** Time after a slow reply in which the versions of a daemon are not judged, in milliseconds. */
const SLOW_MS = 3_000;

/** Samples the active configuration version of each daemon process. */
export class VersionMonitor {
  /** Number of samples in which a daemon process had a lower version than before. */
  public reversions = 0;

  /** Samples of daemons that did not have the latest version. */
  public readonly behind: soakTypes.IVersionSample[] = [];

  private readonly highestVersions = new WeakMap<object, number>();

  /** Time until which a daemon counts as slow, by its index. */
  private readonly slowUntilMs = new Map<number, number>();

  private stopped = false;

  public constructor(private readonly fleet: soakFleet.SoakFleet) {}

  public async run(): Promise<void> {
    while (!this.stopped) {
      await Promise.all(this.fleet.daemons.map((daemon, index) => this.sample(daemon, index)));
      await pauseModule.pause(SAMPLE_INTERVAL_MS);
    }
  }

  public stop(): void {
    this.stopped = true;
  }

  private async sample(daemon: deployedDaemon.DeployedDaemon, index: number): Promise<void> {
    const atMs = performance.now();
    const version = await this.fleet.configurationVersionAt(index);
    const repliedMs = performance.now();
    if (repliedMs - atMs > SLOW_REPLY_MS) this.slowUntilMs.set(index, repliedMs + SLOW_MS);
    if (version === undefined || this.fleet.daemons[index] !== daemon) return;
    const highest = this.highestVersions.get(daemon.child) ?? 0;
    if (version < highest) this.reversions += 1;
    this.highestVersions.set(daemon.child, Math.max(highest, version));
    const isBehind = version < (this.fleet.publications.at(-1)?.version ?? 0);
    const isSlow = repliedMs < (this.slowUntilMs.get(index) ?? 0);
    if (isBehind && !isSlow) this.behind.push({ daemon: index, version, atMs });
  }
}
