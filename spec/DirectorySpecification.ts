import * as directoryProtocol from './DirectoryProtocol';
import type * as specTypes from './Types';

/** Specification of the directory, without the rule that a mutant removes. */
export class DirectorySpecification implements specTypes.ISpecification<
  directoryProtocol.IFleetState,
  directoryProtocol.DirectoryEvent
> {
  public readonly name = 'directory';

  public readonly initial: directoryProtocol.IFleetState;

  public readonly invariants: readonly specTypes.IInvariant<directoryProtocol.IFleetState>[];

  public constructor(
    private readonly mutant?: directoryProtocol.DirectoryMutant,
    private readonly bounds = directoryProtocol.DEFAULT_DIRECTORY_BOUNDS,
  ) {
    const { daemons, servers } = bounds;
    this.initial = {
      store: { log: [], historyStart: 1 },
      daemons: Array.from({ length: daemons }, () => directoryProtocol.newDirectory(0, servers)),
    };
    this.invariants = [
      {
        name: 'a daemon lists no server that was removed at its revision',
        holds: (_before, { store, daemons: all }) =>
          all.every(({ servers: known, revision }) => {
            const stored = directoryProtocol.serversAt(store, revision, servers);
            return known.every(
              (entryRevision, server) =>
                entryRevision === 0 || entryRevision > revision || stored[server] === entryRevision,
            );
          }),
      },
      {
        name: 'a daemon lists each server of its revision that was not removed later',
        holds: (_before, { store, daemons: all }) =>
          all.every(({ servers: known, revision }) => {
            const stored = directoryProtocol.serversAt(store, revision, servers);
            const later = store.log.slice(revision);
            return stored.every(
              (entryRevision, server) =>
                entryRevision === 0 ||
                (known[server] as number) >= entryRevision ||
                later.some((change) => change.server === server && change.removed),
            );
          }),
      },
      {
        name: 'the revision of a process never decreases',
        holds: (before, after) =>
          before.daemons.every(({ incarnation, revision }, index) => {
            const next = after.daemons[index] as directoryProtocol.IDirectoryState;
            return next.incarnation !== incarnation || next.revision >= revision;
          }),
      },
    ];
  }

  public enabledEvents(
    state: directoryProtocol.IFleetState,
  ): readonly directoryProtocol.DirectoryEvent[] {
    const { log, historyStart } = state.store;
    const events: directoryProtocol.DirectoryEvent[] = [];
    if (log.length < this.bounds.maxRevision) {
      const stored = directoryProtocol.serversAt(state.store, log.length, this.bounds.servers);
      stored.forEach((revision, server) => {
        events.push({ type: 'change', server, removed: false });
        if (revision > 0) events.push({ type: 'change', server, removed: true });
      });
    }
    if (historyStart <= log.length) events.push({ type: 'forget-history' });
    state.daemons.forEach((own, daemon) =>
      events.push(...this.enabledEventsOfDaemon(state, own, daemon)),
    );
    return events;
  }

  public next(
    state: directoryProtocol.IFleetState,
    event: directoryProtocol.DirectoryEvent,
  ): directoryProtocol.IFleetState {
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

  /** Returns the content that a source delivers to a daemon now. */
  public contentOf(
    state: directoryProtocol.IFleetState,
    daemon: number,
    source: directoryProtocol.Source,
  ): directoryProtocol.IContent {
    const { store, daemons } = state;
    const { servers: count } = this.bounds;
    const none = Array.from({ length: count }, () => 0);
    const latest = store.log.length;
    const { revision: known } = daemons[daemon] as directoryProtocol.IDirectoryState;
    switch (source.from) {
      case 'listing': {
        const servers = directoryProtocol.serversAt(store, latest, count);
        return { kind: 'listing', servers, removals: none, revision: latest };
      }
      case 'stale-listing': {
        const servers = directoryProtocol.serversAt(store, source.at, count);
        const revision = this.mutant === 'trust-stale-revision' ? latest : Math.max(...servers);
        return { kind: 'listing', servers, removals: none, revision };
      }
      case 'watch':
        return {
          kind: 'changes',
          servers: directoryProtocol.newerThan(
            directoryProtocol.serversAt(store, latest, count),
            known,
          ),
          removals: directoryProtocol.newerThan(
            DirectorySpecification.removalsAt(store, count),
            known,
          ),
          revision: latest,
        };
      default: {
        const peer = daemons[source.peer] as directoryProtocol.IDirectoryState;
        const { servers, removals, revision, completeSince } = peer;
        if (completeSince === null || known < completeSince) {
          return { kind: 'listing', servers, removals: none, revision };
        }
        const changed = {
          servers: directoryProtocol.newerThan(servers, known),
          removals: directoryProtocol.newerThan(removals, known),
        };
        return { kind: 'changes', ...changed, revision };
      }
    }
  }

  private static removalsAt(
    store: directoryProtocol.IStoreState,
    count: number,
  ): readonly number[] {
    const removals = Array.from({ length: count }, () => 0);
    store.log.forEach(({ server, removed }, index) => {
      removals[server] = removed ? index + 1 : 0;
    });
    return removals;
  }

  private enabledEventsOfDaemon(
    state: directoryProtocol.IFleetState,
    own: directoryProtocol.IDirectoryState,
    daemon: number,
  ): directoryProtocol.DirectoryEvent[] {
    const { store, daemons } = state;
    const sources: directoryProtocol.Source[] = [{ from: 'listing' }];
    if (own.revision === 0) {
      store.log.forEach((_change, at) => sources.push({ from: 'stale-listing', at }));
    } else if (own.revision + 1 >= store.historyStart) sources.push({ from: 'watch' });
    daemons.forEach(({ revision }, peer) => {
      if (peer !== daemon && revision > own.revision) sources.push({ from: 'peer', peer });
    });
    const events = sources.map((source): directoryProtocol.DirectoryEvent => ({
      type: 'take',
      daemon,
      source,
    }));
    if (own.pending !== null) events.push({ type: 'arrive', daemon });
    else if (daemon < this.bounds.delayed) {
      events.push(
        ...sources.map((source): directoryProtocol.DirectoryEvent => ({
          type: 'send',
          daemon,
          source,
        })),
      );
    }
    if (own.incarnation < this.bounds.maxRestarts) events.push({ type: 'restart', daemon });
    return events;
  }

  private nextDaemon(
    state: directoryProtocol.IFleetState,
    event: Extract<directoryProtocol.DirectoryEvent, { daemon: number }>,
  ): directoryProtocol.IDirectoryState {
    const own = state.daemons[event.daemon] as directoryProtocol.IDirectoryState;
    switch (event.type) {
      case 'restart':
        return directoryProtocol.newDirectory(own.incarnation + 1, this.bounds.servers);
      case 'send':
        return { ...own, pending: this.contentOf(state, event.daemon, event.source) };
      case 'take':
        return this.merge(own, this.contentOf(state, event.daemon, event.source));
      default:
        return own.pending === null ? own : { ...this.merge(own, own.pending), pending: null };
    }
  }

  private merge(
    own: directoryProtocol.IDirectoryState,
    content: directoryProtocol.IContent,
  ): directoryProtocol.IDirectoryState {
    return content.kind === 'listing' ? this.replace(own, content) : this.apply(own, content);
  }

  /** Follows the rules of `Directory.replace`. */
  private replace(
    own: directoryProtocol.IDirectoryState,
    content: directoryProtocol.IContent,
  ): directoryProtocol.IDirectoryState {
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
    const keepsCompleteSince =
      this.mutant === 'tell-removals-before-listing' && own.completeSince !== null;
    const completeSince =
      revision > own.revision && !keepsCompleteSince ? revision : own.completeSince;
    return {
      ...own,
      servers,
      removals,
      completeSince,
      revision: Math.max(own.revision, revision),
    };
  }

  /** Follows the rules of `Directory.apply`. */
  private apply(
    own: directoryProtocol.IDirectoryState,
    content: directoryProtocol.IContent,
  ): directoryProtocol.IDirectoryState {
    const servers = [...own.servers];
    const removals = [...own.removals];
    const since = this.mutant === 'apply-known-changes' ? 0 : own.revision;
    directoryProtocol.newerThan(content.servers, since).forEach((changed, server) => {
      if (changed <= Math.max(servers[server] as number, removals[server] as number)) return;
      servers[server] = changed;
      removals[server] = 0;
    });
    directoryProtocol.newerThan(content.removals, since).forEach((removed, server) => {
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
