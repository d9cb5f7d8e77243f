import type * as specTypes from './Types';

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

function newDirectory(incarnation: number, servers: number): IDirectoryState {
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

function newerThan(revisions: readonly number[], since: number): readonly number[] {
  return revisions.map((revision) => (revision > since ? revision : 0));
}

/** The specification of the directory, without the rule that a mutant removes. */
export class DirectorySpecification implements specTypes.ISpecification<
  IFleetState,
  DirectoryEvent
> {
  public readonly name = 'directory';

  public readonly initial: IFleetState;

  public readonly invariants: readonly specTypes.IInvariant<IFleetState>[];

  public constructor(
    private readonly mutant?: DirectoryMutant,
    private readonly bounds = DEFAULT_DIRECTORY_BOUNDS,
  ) {
    const { daemons, servers } = bounds;
    this.initial = {
      store: { log: [], historyStart: 1 },
      daemons: Array.from({ length: daemons }, () => newDirectory(0, servers)),
    };
    this.invariants = [
      {
        name: 'a daemon uses no server that was gone at its revision',
        holds: (_before, { store, daemons: all }) =>
          all.every(({ servers: known, revision }) => {
            const held = serversAt(store, revision, servers);
            return known.every(
              (own, server) => own === 0 || own > revision || held[server] === own,
            );
          }),
      },
      {
        name: 'a daemon knows each server of its revision that is not gone since',
        holds: (_before, { store, daemons: all }) =>
          all.every(({ servers: known, revision }) => {
            const held = serversAt(store, revision, servers);
            const later = store.log.slice(revision);
            return held.every(
              (own, server) =>
                own === 0 ||
                (known[server] as number) >= own ||
                later.some((change) => change.server === server && change.removed),
            );
          }),
      },
      {
        name: 'the revision of a process does not decrease',
        holds: (before, after) =>
          before.daemons.every(({ incarnation, revision }, index) => {
            const next = after.daemons[index] as IDirectoryState;
            return next.incarnation !== incarnation || next.revision >= revision;
          }),
      },
    ];
  }

  public eventsOf(state: IFleetState): readonly DirectoryEvent[] {
    const { log, historyStart } = state.store;
    const events: DirectoryEvent[] = [];
    if (log.length < this.bounds.maxRevision) {
      const held = serversAt(state.store, log.length, this.bounds.servers);
      held.forEach((revision, server) => {
        events.push({ type: 'change', server, removed: false });
        if (revision > 0) events.push({ type: 'change', server, removed: true });
      });
    }
    if (historyStart <= log.length) events.push({ type: 'forget-history' });
    state.daemons.forEach((own, daemon) => events.push(...this.eventsOfDaemon(state, own, daemon)));
    return events;
  }

  public next(state: IFleetState, event: DirectoryEvent): IFleetState {
    const { store } = state;
    switch (event.type) {
      case 'change': {
        const { server, removed } = event;
        return { ...state, store: { ...store, log: [...store.log, { server, removed }] } };
      }
      case 'forget-history':
        return { ...state, store: { ...store, historyStart: store.log.length + 1 } };
      default: {
        const daemons = [...state.daemons];
        daemons[event.daemon] = this.nextDaemon(state, event);
        return { ...state, daemons };
      }
    }
  }

  /** What a source delivers to a daemon now. */
  public contentOf(state: IFleetState, daemon: number, source: Source): IContent {
    const { store, daemons } = state;
    const { servers: count } = this.bounds;
    const absent = Array.from({ length: count }, () => 0);
    const present = store.log.length;
    const { revision: known } = daemons[daemon] as IDirectoryState;
    switch (source.from) {
      case 'listing': {
        const servers = serversAt(store, present, count);
        return { kind: 'listing', servers, removals: absent, revision: present };
      }
      case 'stale-listing': {
        const servers = serversAt(store, source.at, count);
        const revision = this.mutant === 'trust-stale-revision' ? present : Math.max(...servers);
        return { kind: 'listing', servers, removals: absent, revision };
      }
      case 'watch':
        return {
          kind: 'changes',
          servers: newerThan(serversAt(store, present, count), known),
          removals: newerThan(DirectorySpecification.removalsAt(store, count), known),
          revision: present,
        };
      default: {
        const peer = daemons[source.peer] as IDirectoryState;
        const { servers, removals, revision, completeSince } = peer;
        if (completeSince === null || known < completeSince) {
          return { kind: 'listing', servers, removals: absent, revision };
        }
        const changed = {
          servers: newerThan(servers, known),
          removals: newerThan(removals, known),
        };
        return { kind: 'changes', ...changed, revision };
      }
    }
  }

  private static removalsAt(store: IStoreState, count: number): readonly number[] {
    const removals = Array.from({ length: count }, () => 0);
    store.log.forEach(({ server, removed }, index) => {
      removals[server] = removed ? index + 1 : 0;
    });
    return removals;
  }

  private eventsOfDaemon(
    state: IFleetState,
    own: IDirectoryState,
    daemon: number,
  ): DirectoryEvent[] {
    const { store, daemons } = state;
    const sources: Source[] = [{ from: 'listing' }];
    if (own.revision === 0) {
      store.log.forEach((_change, at) => sources.push({ from: 'stale-listing', at }));
    } else if (own.revision + 1 >= store.historyStart) sources.push({ from: 'watch' });
    daemons.forEach(({ revision }, peer) => {
      if (peer !== daemon && revision > own.revision) sources.push({ from: 'peer', peer });
    });
    const events = sources.map((source): DirectoryEvent => ({ type: 'take', daemon, source }));
    if (own.pending !== null) events.push({ type: 'arrive', daemon });
    else if (daemon < this.bounds.delayed) {
      events.push(...sources.map((source): DirectoryEvent => ({ type: 'send', daemon, source })));
    }
    if (own.incarnation < this.bounds.maxRestarts) events.push({ type: 'restart', daemon });
    return events;
  }

  private nextDaemon(
    state: IFleetState,
    event: Extract<DirectoryEvent, { daemon: number }>,
  ): IDirectoryState {
    const own = state.daemons[event.daemon] as IDirectoryState;
    switch (event.type) {
      case 'restart':
        return newDirectory(own.incarnation + 1, this.bounds.servers);
      case 'send':
        return { ...own, pending: this.contentOf(state, event.daemon, event.source) };
      case 'take':
        return this.merge(own, this.contentOf(state, event.daemon, event.source));
      default:
        return own.pending === null ? own : { ...this.merge(own, own.pending), pending: null };
    }
  }

  private merge(own: IDirectoryState, content: IContent): IDirectoryState {
    return content.kind === 'listing' ? this.replace(own, content) : this.apply(own, content);
  }

  /** The rule of `Directory.replace`. */
  private replace(own: IDirectoryState, content: IContent): IDirectoryState {
    const { revision } = content;
    if (revision < own.revision && this.mutant !== 'replace-with-older-listing') return own;
    const servers = [...own.servers];
    const removals = [...own.removals];
    content.servers.forEach((listed, server) => {
      const known = servers[server] as number;
      if (listed === 0 && known > 0 && known <= revision) {
        servers[server] = 0;
        removals[server] = revision;
      } else if (listed > Math.max(known, removals[server] as number)) {
        servers[server] = listed;
        removals[server] = 0;
      }
    });
    const keeps = this.mutant === 'tell-removals-before-listing' && own.completeSince !== null;
    const completeSince = revision > own.revision && !keeps ? revision : own.completeSince;
    return {
      ...own,
      servers,
      removals,
      completeSince,
      revision: Math.max(own.revision, revision),
    };
  }

  /** The rule of `Directory.apply`. */
  private apply(own: IDirectoryState, content: IContent): IDirectoryState {
    const servers = [...own.servers];
    const removals = [...own.removals];
    const since = this.mutant === 'apply-known-changes' ? 0 : own.revision;
    newerThan(content.servers, since).forEach((changed, server) => {
      if (changed <= Math.max(servers[server] as number, removals[server] as number)) return;
      servers[server] = changed;
      removals[server] = 0;
    });
    newerThan(content.removals, since).forEach((removed, server) => {
      const isOlder = removed < (servers[server] as number);
      if (removed === 0 || isOlder || removed <= (removals[server] as number)) return;
      servers[server] = 0;
      removals[server] = removed;
    });
    return {
      ...own,
      servers,
      removals,
      completeSince: own.completeSince ?? own.revision,
      revision: Math.max(own.revision, content.revision),
    };
  }
}
