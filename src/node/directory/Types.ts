import type * as directoryTypes from '../../common/directory/Types';
import type * as types from '../../common/Types';

/** Reads the directory in which operators and backend servers publish. */
export interface IDirectorySource {
  /**
   * Lists everything. Changes after the revision of the listing have to be watched for.
   * @param mayBeStale Whether the listing may be seconds old, which costs the directory less.
   */
  list(
    mayBeStale: boolean,
  ): Promise<types.Result<directoryTypes.IDirectoryListing, directoryTypes.DirectoryFailure>>;
  /** Waits for changes after `revision`, for at most `waitMs` milliseconds. */
  watch(
    revision: number,
    waitMs: number,
  ): Promise<types.Result<directoryTypes.IDirectoryChanges, directoryTypes.DirectoryFailure>>;
  /** Gives up reads in progress and closes connections. Further reads open new ones. */
  reset(): void;
}
