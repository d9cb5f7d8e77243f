/**
 * Models the directory of servers: a store with a revision for each change, and daemons that list
 * it, watch it, and query each other. Content is read at one moment and may arrive at any later one,
 * in any order, or never, which covers delay, loss, partition and pauses. The store may compact its
 * history, and a daemon may restart. Servers are numbers; 0 in place of a revision means absent.
 */

export interface IStoreState {
  /** Changes in the order of revisions: the server, and whether the change removed it. */
  readonly log: readonly { readonly server: number; readonly removed: boolean }[];
  /** First revision from which changes can be watched. */
  readonly historyStart: number;
}

/**
 * Content that the store or a peer delivers. `changes` contain only entries that are newer than the
 * revision of the reader.
 */
export interface IContent {
  readonly kind: 'listing' | 'changes';
  readonly servers: readonly number[];
  readonly removals: readonly number[];
  readonly revision: number;
}

export interface IDirectoryState {
  /** Number of restarts. */
  readonly incarnation: number;
  readonly revision: number;
  /** Revision after which all removals are known; null before the first content. */
  readonly completeSince: number | null;
  readonly servers: readonly number[];
  readonly removals: readonly number[];
  /** Content in transit. */
  readonly pending: IContent | null;
}

export interface IFleetState {
  readonly store: IStoreState;
  readonly daemons: readonly IDirectoryState[];
}

/** Source of content: a current or stale listing of the store, its changes, or a peer. */
export type Source =
  | { readonly from: 'listing' }
  | { readonly from: 'stale-listing'; readonly at: number }
  | { readonly from: 'watch' }
  | { readonly from: 'peer'; readonly peer: number };

export type DirectoryEvent =
  | { readonly type: 'change'; readonly server: number; readonly removed: boolean }
  | { readonly type: 'forget-history' }
  | { readonly type: 'restart'; readonly daemon: number }
  /** Content is merged at once. */
  | { readonly type: 'take'; readonly daemon: number; readonly source: Source }
  /** Content is sent, and may arrive later. */
  | { readonly type: 'send'; readonly daemon: number; readonly source: Source }
  | { readonly type: 'arrive'; readonly daemon: number };

export const DIRECTORY_MUTANTS = {
  'tell-removals-before-listing': 'a daemon sends changes from before its last listing',
  'apply-known-changes': 'changes older than the known revision are applied',
  'replace-with-older-listing': 'a listing older than the known revision is accepted',
  'trust-stale-revision':
    'a watch after a stale listing starts at the current revision of the store',
} as const;

export type DirectoryMutant = keyof typeof DIRECTORY_MUTANTS;

export interface IDirectoryBounds {
  readonly daemons: number;
  readonly servers: number;
  readonly maxRevision: number;
  readonly maxRestarts: number;
  /** Number of daemons, counted from the first, to which content may be in transit. */
  readonly delayed: number;
}

export const DEFAULT_DIRECTORY_BOUNDS: IDirectoryBounds = {
  daemons: 2,
  servers: 1,
  maxRevision: 4,
  maxRestarts: 0,
  delayed: 1,
};

/** Returns the revisions of the servers that the store contained at a revision. */
export function serversAt(store: IStoreState, revision: number, count: number): readonly number[] {
  const servers = Array.from({ length: count }, () => 0);
  store.log.slice(0, revision).forEach(({ server, removed }, index) => {
    servers[server] = removed ? 0 : index + 1;
  });
  return servers;
}

/** Returns an empty directory. */
export function newDirectory(incarnation: number, servers: number): IDirectoryState {
  const absent = Array.from({ length: servers }, () => 0);
  return {
    incarnation,
    revision: 0,
    completeSince: null,
    servers: absent,
    removals: absent,
    pending: null,
  };
}

/** Replaces the revisions up to `since` by 0. */
export function newerThan(revisions: readonly number[], since: number): readonly number[] {
  return revisions.map((revision) => (revision > since ? revision : 0));
}
