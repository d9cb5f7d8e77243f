import type * as directoryTypes from '../../common/directory/Types';
import type * as types from '../../common/Types';

/** What a read took, for the log. */
export interface IReadCost {
  /** Size of the replies. */
  readonly bytes: number;
  /** Time to decode them, in milliseconds. */
  readonly decodeMs: number;
}

/** Content of a read, with its cost if the source measures it. */
export type Read<T> = T & { readonly cost?: IReadCost | undefined };

/** Reads the directory of published configurations and registered backend servers. */
export interface IDirectorySource {
  /**
   * Lists all records. Changes after the revision of the listing are obtained with `watch`.
   * @param mayBeStale Whether the listing may be seconds old, which is cheaper for the service.
   */
  list(
    mayBeStale: boolean,
  ): Promise<types.Result<Read<directoryTypes.IDirectoryListing>, directoryTypes.DirectoryFailure>>;
  /** Waits for changes after `revision`, for at most `waitMs` milliseconds. */
  watch(
    revision: number,
    waitMs: number,
  ): Promise<types.Result<Read<directoryTypes.IDirectoryChanges>, directoryTypes.DirectoryFailure>>;
  /** Aborts reads in progress and closes connections. Later reads open new ones. */
  reset(): void;
}
