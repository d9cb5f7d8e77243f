/**
 * The directory of servers: a store with a revision for each change, and daemons that list it, watch
 * it, and ask each other. Content is taken at one moment and may arrive at any later one, in any
 * order, or never, which covers delay, loss, partition and pauses. The store may forget its history,
 * and a daemon may start anew. Servers are numbers; 0 in place of a revision means absent.
 */
export interface IStoreState {
  /** Server of each change, in the order of revisions, and whether the change removed it. */
  readonly log: readonly { readonly server: number; readonly removed: boolean }[];
  /** Revision from which on changes can be watched. */
  readonly historyStart: number;
}

/** What a read or a peer delivers. Only entries newer than `since` are part of changes. */
export interface IContent {
  readonly kind: 'listing' | 'changes';
  readonly servers: readonly number[];
  readonly removals: readonly number[];
  readonly revision: number;
}

export interface IDirectoryState {
  /** Number of times that the process was replaced. */
  readonly incarnation: number;
  readonly revision: number;
  /** Revision after which all removals are on record; null before the first content. */
  readonly completeSince: number | null;
  readonly servers: readonly number[];
  readonly removals: readonly number[];
  /** Content that is on its way. */
  readonly pending: IContent | null;
}

export interface IFleetState {
  readonly store: IStoreState;
  readonly daemons: readonly IDirectoryState[];
}

/** Where content comes from: the store now or earlier, its changes, or a peer. */
export type Source =
  | { readonly from: 'listing' }
  | { readonly from: 'stale-listing'; readonly at: number }
  | { readonly from: 'watch' }
  | { readonly from: 'peer'; readonly peer: number };

export type DirectoryEvent =
  | { readonly type: 'change'; readonly server: number; readonly removed: boolean }
  | { readonly type: 'forget-history' }
  | { readonly type: 'restart'; readonly daemon: number }
  /** Content is taken over at once. */
  | { readonly type: 'take'; readonly daemon: number; readonly source: Source }
  /** Content is sent off, and may arrive later. */
  | { readonly type: 'send'; readonly daemon: number; readonly source: Source }
  | { readonly type: 'arrive'; readonly daemon: number };

export const DIRECTORY_MUTANTS = {
  'tell-removals-before-listing': 'a daemon tells changes from before its last listing',
  'apply-known-changes': 'changes that are older than what is known are applied',
  'replace-with-older-listing': 'a listing that is older than what is known is taken over',
  'trust-stale-revision': 'a stale listing is continued from the present revision of the store',
} as const;

export type DirectoryMutant = keyof typeof DIRECTORY_MUTANTS;

export interface IDirectoryBounds {
  readonly daemons: number;
  readonly servers: number;
  readonly maxRevision: number;
  readonly maxRestarts: number;
  /** Daemons to which content may be on its way, the first ones. */
  readonly delayed: number;
}

export const DEFAULT_DIRECTORY_BOUNDS: IDirectoryBounds = {
  daemons: 2,
  servers: 1,
  maxRevision: 4,
  maxRestarts: 0,
  delayed: 1,
};

/** Revisions of the servers that the store held at a revision. */
export function serversAt(store: IStoreState, revision: number, count: number): readonly number[] {
  const servers = Array.from({ length: count }, () => 0);
  store.log.slice(0, revision).forEach(({ server, removed }, index) => {
    servers[server] = removed ? 0 : index + 1;
  });
  return servers;
}

/** A directory that knows nothing. */
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

/** Leaves out the revisions up to `since`. */
export function newerThan(revisions: readonly number[], since: number): readonly number[] {
  return revisions.map((revision) => (revision > since ? revision : 0));
}
