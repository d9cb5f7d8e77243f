import type * as bunyan from 'bunyan';

import type * as confirmationModule from '../../common/directory/Confirmation';
import type * as directoryModule from '../../common/directory/Directory';
import type * as directoryTypes from '../../common/directory/Types';
import type * as types from '../../common/Types';
import type * as nodeTypes from './Types';
import * as names from '../telemetry/Names';

/**
 * Time that a watch waits for a change, in milliseconds. A silent connection hides changes for it,
 * and each end of a watch confirms the directory to the followers of a reader.
 */
const WATCH_MS = 750;

/** Time between two looks at whether this daemon has to read, in milliseconds. */
const ROLE_CHECK_INTERVAL_MS = 100;

/** Pause after changes, in milliseconds, so that changes that come together cost one read. */
const COALESCING_DELAY_MS = 300;

/** Bounds of the delay after a failed read, in milliseconds. */
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1_000;

/** Outage from which on entries may have lapsed without their servers having gone, in milliseconds. */
const MIN_EXPIRY_OUTAGE_MS = 1_000;

/** Counts of reads since the start. */
export interface IWatcherCounts {
  readonly lists: number;
  readonly watches: number;
  readonly failures: number;
}

/** Keeps the directory up to date from its source. */
export class DirectoryWatcher implements types.IDisposable {
  private lists = 0;

  private watches = 0;

  private failures = 0;

  private consecutiveFailures = 0;

  /** Monotonic time up to which the directory is known to have responded, to this daemon or a peer. */
  private lastResponseMs: number;

  private hasListed = false;

  private mustList = true;

  private disposed = false;

  /** Begins anew with each interruption, so that an overtaken read changes nothing. */
  private generation = 0;

  /** @param mustRead Whether this daemon has to read, or learns of changes from its peers. */
  public constructor(
    private readonly source: nodeTypes.IDirectorySource,
    private readonly directory: directoryModule.Directory,
    private readonly confirmation: confirmationModule.Confirmation,
    private readonly logger: bunyan,
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
    private readonly mustRead: () => boolean = () => true,
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
      this.logger.error({ err: error }, 'following the directory failed'),
    );
  }

  /** Lists everything again at once, as after a pause of the process. */
  public restart(): void {
    this.mustList = true;
    this.source.reset();
    this.start();
  }

  public dispose(): void {
    this.disposed = true;
    this.source.reset();
  }

  private async runReadLoop(generation: number): Promise<void> {
    while (!this.disposed && generation === this.generation) {
      // Reads follow each other, since each begins where the one before it ended.

      const pauseMs = await this.readNext(generation);

      if (pauseMs > 0) await this.delay(pauseMs);
    }
  }

  private readNext(generation: number): Promise<number> {
    if (this.hasListed && !this.mustRead()) return Promise.resolve(ROLE_CHECK_INTERVAL_MS);
    return this.mustList ? this.list(generation) : this.watch(generation);
  }

  private async list(generation: number): Promise<number> {
    this.lists += 1;
    const startMs = this.clock.monotonicMs();
    // A daemon that knows nothing yet makes up for an old listing with the watch that follows.
    const mayBeStale = this.directory.revision === 0;
    const result = await this.source.list(mayBeStale);
    if (generation !== this.generation || this.disposed) return 0;
    if (!result.ok) return this.recordFailure(result.error);
    this.mustList = false;
    this.hasListed = true;
    this.handleRecovery();
    this.directory.replace(result.value);
    if (!mayBeStale) this.recordSuccess(startMs);
    return 0;
  }

  private async watch(generation: number): Promise<number> {
    this.watches += 1;
    const startMs = this.clock.monotonicMs();
    const result = await this.source.watch(this.directory.revision, WATCH_MS);
    if (generation !== this.generation || this.disposed) return 0;
    if (!result.ok) return this.recordFailure(result.error);
    const { records, revision } = result.value;
    this.handleRecovery();
    this.directory.apply(records, revision);
    // A watch without changes confirms its end: the store would have told of any.
    this.recordSuccess(records.length > 0 ? startMs : this.clock.monotonicMs());
    return records.length > 0 ? COALESCING_DELAY_MS : 0;
  }

  /** To be called before the first content after an outage is applied. */
  private handleRecovery(): void {
    if (this.consecutiveFailures === 0) return;
    const outageMs = Math.round(this.clock.monotonicMs() - this.lastResponseMs);
    if (outageMs >= MIN_EXPIRY_OUTAGE_MS) this.directory.onReturned();
    this.logger.info({ event: names.DIRECTORY_REGAINED, outageMs }, 'directory responds again');
  }

  /** @param completeAtMs Time up to which all changes are known now. */
  private recordSuccess(completeAtMs: number): void {
    const nowMs = this.clock.monotonicMs();
    this.confirmation.confirm(nowMs - completeAtMs);
    this.consecutiveFailures = 0;
    this.lastResponseMs = nowMs;
  }

  /** Returns the delay before the next read. */
  private recordFailure(failure: directoryTypes.DirectoryFailure): number {
    if (failure.kind === 'history-lost') {
      this.mustList = true;
      const { revision } = this.directory;
      this.logger.warn({ event: names.DIRECTORY_HISTORY_LOST, revision }, 'directory listed anew');
      return 0;
    }
    this.failures += 1;
    this.consecutiveFailures += 1;
    // A watch that was cut may have missed changes, and a new one may wait without telling so.
    this.mustList = true;
    if (this.consecutiveFailures === 1) {
      const confirmedMs = this.clock.monotonicMs() - this.confirmation.ageMs;
      this.lastResponseMs = Math.max(this.lastResponseMs, confirmedMs);
      const fields = { event: names.DIRECTORY_LOST, detail: failure.detail };
      this.logger.warn(fields, 'directory does not respond');
    }
    const maxDelayMs = Math.min(
      MAX_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** (this.consecutiveFailures - 1),
    );
    return maxDelayMs * (0.5 + this.random.next() / 2);
  }

  private delay(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.setTimer(durationMs, resolve);
    });
  }
}
