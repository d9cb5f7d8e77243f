import type * as bunyan from 'bunyan';

import type * as confirmationModule from '../../common/directory/Confirmation';
import type * as directoryModule from '../../common/directory/Directory';
import type * as directoryTypes from '../../common/directory/Types';
import type * as types from '../../common/Types';
import type * as nodeTypes from './Types';
import * as names from '../telemetry/Names';

/**
 * Limits of the duration of a watch without changes, as shares of the maximum age of a
 * confirmation. The end of each watch confirms that the directory is up to date, for this daemon
 * and the peers that it notifies, and an unresponsive connection hides changes at least as long.
 */
const WATCH_SHARE = 0.5;
const CONFIRMATION_SHARE = 0.6;

/** Minimum duration of a watch without changes, in milliseconds. */
const MIN_WATCH_MS = 150;

/**
 * Duration of a watch of a daemon that reads only until a peer confirms its directory, in
 * milliseconds. Such reads grow with the fleet, so they are few.
 */
const FALLBACK_WATCH_MS = 2_000;

/** Interval at which a daemon that need not read checks whether it has to, in milliseconds. */
const ROLE_CHECK_INTERVAL_MS = 100;

/** Delay of the next watch after changes, in milliseconds, so that a burst costs one read. */
const COALESCING_DELAY_MS = 300;

/** Bounds of the exponential backoff after failed reads, in milliseconds. */
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1_000;

/**
 * Maximum delay after a failed read of a daemon that is not a reader, in milliseconds. When the
 * directory service recovers, the readers then confirm most other daemons before they read.
 */
const FALLBACK_BACKOFF_MS = 3_000;

/** Shortest outage, in milliseconds, in which entries of running servers may have expired. */
const MIN_EXPIRY_OUTAGE_MS = 1_000;

/** Counts of reads since the start. */
export interface IWatcherCounts {
  readonly lists: number;
  readonly watches: number;
  readonly failures: number;
}

/** Keeps the directory up to date: lists it, watches for changes, and lists again on failure. */
export class DirectoryWatcher implements types.IDisposable {
  private lists = 0;

  private watches = 0;

  private failures = 0;

  private consecutiveFailures = 0;

  /** Monotonic time of the last known response of the directory to this daemon or to a peer. */
  private lastResponseMs: number;

  private hasListed = false;

  private mustList = true;

  /** Monotonic time of the last failed read. */
  private failedAtMs = Number.NEGATIVE_INFINITY;

  private disposed = false;

  /** Incremented by each start, so that results of reads begun before it are discarded. */
  private generation = 0;

  /** @param readRole Returns whether this daemon has to read, or learns of changes from peers. */
  public constructor(
    private readonly source: nodeTypes.IDirectorySource,
    private readonly directory: directoryModule.Directory,
    private readonly confirmation: confirmationModule.Confirmation,
    private readonly logger: bunyan,
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
    private readonly readRole: () => directoryTypes.ReadRole = () => 'reader',
  ) {
    this.lastResponseMs = clock.monotonicMs();
  }

  public get counts(): IWatcherCounts {
    const { lists, watches, failures } = this;
    return { lists, watches, failures };
  }

  public start(): void {
    this.generation += 1;
    this.runReadLoop(this.generation).catch((error: Error) =>
      this.logger.error({ err: error }, 'directory read loop failed'),
    );
  }

  /** Aborts reads in progress and lists again immediately, as after a pause of the process. */
  public restart(): void {
    this.mustList = true;
    this.failedAtMs = this.clock.monotonicMs();
    this.source.reset();
    this.start();
  }

  public dispose(): void {
    this.disposed = true;
    this.source.reset();
  }

  private async runReadLoop(generation: number): Promise<void> {
    while (!this.disposed && generation === this.generation) {
      // Reads are sequential, since each starts at the revision that the previous one returned.

      const pauseMs = await this.readOrRecover(generation);

      if (pauseMs > 0) await this.delay(pauseMs);
    }
  }

  /** Reads, and treats an unexpected error as a failed read, so that the loop continues. */
  private async readOrRecover(generation: number): Promise<number> {
    try {
      return await this.readNext(generation);
    } catch (error) {
      this.logger.error({ err: error }, 'directory could not be read or applied');
      return this.recordFailure({ kind: 'unavailable', detail: (error as Error).message });
    }
  }

  private readNext(generation: number): Promise<number> {
    if (this.hasListed && this.readRole() === 'follower') {
      return Promise.resolve(ROLE_CHECK_INTERVAL_MS);
    }
    return this.needsListing ? this.list(generation) : this.watch(generation);
  }

  /** Whether changes may be missing that a watch would not report and no peer has delivered. */
  private get needsListing(): boolean {
    return this.mustList && (!this.hasListed || this.confirmation.timeMs <= this.failedAtMs);
  }

  /** Duration of the next watch without changes, in milliseconds. */
  private get watchMs(): number {
    if (this.readRole() !== 'reader') return FALLBACK_WATCH_MS;
    const { maxAgeMs, ageMs } = this.confirmation;
    const untilDueMs = CONFIRMATION_SHARE * maxAgeMs - ageMs;
    const limitMs = WATCH_SHARE * maxAgeMs;
    // Without any confirmation the first watch ends early, so that followers need not read.
    return Math.round(Math.min(limitMs, Math.max(MIN_WATCH_MS, untilDueMs)));
  }

  private async list(generation: number): Promise<number> {
    this.lists += 1;
    const startMs = this.clock.monotonicMs();
    // The first listing may be stale, since the watch that follows delivers the later changes.
    const mayBeStale = this.directory.revision === 0;
    const result = await this.source.list(mayBeStale);
    if (generation !== this.generation || this.disposed) return 0;
    if (!result.ok) return this.recordFailure(result.error);
    this.mustList = false;
    this.hasListed = true;
    this.handleRecovery();
    if (result.value.isRestored === true) this.handleRestoredCopy(result.value.revision);
    this.applyRead(result.value, () => this.directory.replace(result.value));
    if (!mayBeStale) this.recordSuccess(startMs);
    return 0;
  }

  private async watch(generation: number): Promise<number> {
    this.watches += 1;
    const startMs = this.clock.monotonicMs();
    const result = await this.source.watch(this.directory.revision, this.watchMs);
    if (generation !== this.generation || this.disposed) return 0;
    if (!result.ok) return this.recordFailure(result.error);
    this.mustList = false;
    const { records, revision } = result.value;
    this.handleRecovery();
    this.applyRead(result.value, () => this.directory.apply(records, revision));
    // A watch without changes confirms the directory up to the end of the watch, because the store
    // would have reported any change.
    this.recordSuccess(records.length > 0 ? startMs : this.clock.monotonicMs());
    return records.length > 0 ? COALESCING_DELAY_MS : 0;
  }

  /** Applies what a read returned, and logs what a configuration in it took. */
  private applyRead(
    read: nodeTypes.Read<directoryTypes.IDirectoryChanges>,
    apply: () => void,
  ): void {
    const startMs = this.clock.monotonicMs();
    apply();
    if (!read.records.some(({ kind }) => kind === 'configuration')) return;
    const applyMs = Math.round(this.clock.monotonicMs() - startMs);
    const { revision, cost } = read;
    const fields = { event: names.DIRECTORY_READ, revision, ...cost, applyMs };
    this.logger.info(fields, 'configuration read');
  }

  /** Ends an outage, if any. Must be called before the content of a successful read is applied. */
  private handleRecovery(): void {
    if (this.consecutiveFailures === 0) return;
    const outageMs = Math.round(this.clock.monotonicMs() - this.lastResponseMs);
    if (outageMs >= MIN_EXPIRY_OUTAGE_MS) this.directory.startGracePeriod();
    this.logger.info({ event: names.DIRECTORY_REGAINED, outageMs }, 'directory is available again');
  }

  /**
   * Keeps servers that registered after the copy was made, until they have registered again. Must be
   * called before the listing is applied.
   */
  private handleRestoredCopy(revision: number): void {
    this.directory.startGracePeriod();
    const fields = { event: names.DIRECTORY_RESTORED, before: this.directory.revision, revision };
    this.logger.warn(fields, 'directory service was restored from an older copy');
  }

  /** @param completeAtMs Monotonic time up to which all changes are known. */
  private recordSuccess(completeAtMs: number): void {
    const nowMs = this.clock.monotonicMs();
    this.confirmation.confirm(nowMs - completeAtMs);
    this.consecutiveFailures = 0;
    this.lastResponseMs = nowMs;
  }

  /** Returns the delay before the next read. */
  private recordFailure(failure: directoryTypes.DirectoryFailure): number {
    this.failedAtMs = this.clock.monotonicMs();
    if (failure.kind === 'history-lost') {
      this.mustList = true;
      const { revision } = this.directory;
      this.logger.warn(
        { event: names.DIRECTORY_HISTORY_LOST, revision },
        'directory history lost, listing again',
      );
      return 0;
    }
    this.failures += 1;
    this.consecutiveFailures += 1;
    // An interrupted watch may have missed changes that a new one does not report.
    this.mustList = true;
    if (this.consecutiveFailures === 1) {
      const confirmedMs = this.clock.monotonicMs() - this.confirmation.ageMs;
      this.lastResponseMs = Math.max(this.lastResponseMs, confirmedMs);
      const fields = { event: names.DIRECTORY_LOST, detail: failure.detail };
      this.logger.warn(fields, 'directory is unavailable');
    }
    const maxDelayMs =
      this.readRole() === 'reader'
        ? Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (this.consecutiveFailures - 1))
        : FALLBACK_BACKOFF_MS;
    return maxDelayMs * (0.5 + this.random.next() / 2);
  }

  private delay(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.setTimer(durationMs, resolve);
    });
  }
}
