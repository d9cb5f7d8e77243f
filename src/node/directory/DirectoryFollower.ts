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
const REST_MS = 100;

/** Pause after changes, in milliseconds, so that changes that come together cost one read. */
const MERGE_MS = 300;

/** Bounds of the delay after a failed read, in milliseconds. */
const FIRST_RETRY_MS = 100;
const LONGEST_RETRY_MS = 1_000;

/** Outage from which on entries may have lapsed without their servers having gone, in milliseconds. */
const LAPSING_OUTAGE_MS = 1_000;

/** Counts of reads since the start. */
export interface IFollowerCounts {
  readonly lists: number;
  readonly watches: number;
  readonly failures: number;
}

/** Keeps the directory up to date from its source. */
export class DirectoryFollower implements types.IDisposable {
  private lists = 0;

  private watches = 0;

  private failures = 0;

  private failuresInRow = 0;

  /** Monotonic time up to which the directory is known to have responded, to this daemon or a peer. */
  private respondedMs: number;

  private hasListed = false;

  private mustList = true;

  private disposed = false;

  /** Begins anew with each interruption, so that an overtaken read changes nothing. */
  private run = 0;

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
    this.respondedMs = clock.monotonicMs();
  }

  public get counts(): IFollowerCounts {
    const { lists, watches, failures } = this;
    return { lists, watches, failures };
  }

  public start(): void {
    this.run += 1;
    this.follow(this.run).catch((error: Error) =>
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

  private async follow(run: number): Promise<void> {
    while (!this.disposed && run === this.run) {
      // Reads follow each other, since each begins where the one before it ended.

      const pauseMs = await this.step(run);

      if (pauseMs > 0) await this.pause(pauseMs);
    }
  }

  private step(run: number): Promise<number> {
    if (this.hasListed && !this.mustRead()) return Promise.resolve(REST_MS);
    return this.mustList ? this.list(run) : this.watch(run);
  }

  private async list(run: number): Promise<number> {
    this.lists += 1;
    const startMs = this.clock.monotonicMs();
    // A daemon that knows nothing yet makes up for an old listing with the watch that follows.
    const mayBeStale = this.directory.revision === 0;
    const result = await this.source.list(mayBeStale);
    if (run !== this.run || this.disposed) return 0;
    if (!result.ok) return this.fail(result.error);
    this.mustList = false;
    this.hasListed = true;
    this.noteReturn();
    this.directory.replace(result.value);
    if (!mayBeStale) this.succeed(startMs);
    return 0;
  }

  private async watch(run: number): Promise<number> {
    this.watches += 1;
    const startMs = this.clock.monotonicMs();
    const result = await this.source.watch(this.directory.revision, WATCH_MS);
    if (run !== this.run || this.disposed) return 0;
    if (!result.ok) return this.fail(result.error);
    const { records, revision } = result.value;
    this.noteReturn();
    this.directory.apply(records, revision);
    // A watch without changes confirms its end: the store would have told of any.
    this.succeed(records.length > 0 ? startMs : this.clock.monotonicMs());
    return records.length > 0 ? MERGE_MS : 0;
  }

  /** To be called before the first content after an outage is applied. */
  private noteReturn(): void {
    if (this.failuresInRow === 0) return;
    const outageMs = Math.round(this.clock.monotonicMs() - this.respondedMs);
    if (outageMs >= LAPSING_OUTAGE_MS) this.directory.startGracePeriod();
    this.logger.info({ event: names.DIRECTORY_REGAINED, outageMs }, 'directory responds again');
  }

  /** @param completeAtMs Time up to which all changes are known now. */
  private succeed(completeAtMs: number): void {
    const nowMs = this.clock.monotonicMs();
    this.confirmation.confirm(nowMs - completeAtMs);
    this.failuresInRow = 0;
    this.respondedMs = nowMs;
  }

  /** Returns the delay before the next read. */
  private fail(failure: directoryTypes.DirectoryFailure): number {
    if (failure.kind === 'history-lost') {
      this.mustList = true;
      const { revision } = this.directory;
      this.logger.warn({ event: names.DIRECTORY_HISTORY_LOST, revision }, 'directory listed anew');
      return 0;
    }
    this.failures += 1;
    this.failuresInRow += 1;
    // A watch that was cut may have missed changes, and a new one may wait without telling so.
    this.mustList = true;
    if (this.failuresInRow === 1) {
      const confirmedMs = this.clock.monotonicMs() - this.confirmation.ageMs;
      this.respondedMs = Math.max(this.respondedMs, confirmedMs);
      const fields = { event: names.DIRECTORY_LOST, detail: failure.detail };
      this.logger.warn(fields, 'directory does not respond');
    }
    const longestMs = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** (this.failuresInRow - 1));
    return longestMs * (0.5 + this.random.next() / 2);
  }

  private pause(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.setTimer(durationMs, resolve);
    });
  }
}
