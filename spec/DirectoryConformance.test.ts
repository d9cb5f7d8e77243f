import * as directoryModule from '../src/common/directory/Directory';
import type * as directoryTypes from '../src/common/directory/Types';
import * as manualClock from '../src/common/ManualClock';
import * as seededRandom from '../src/common/SeededRandom';
import * as directoryProtocol from './DirectoryProtocol';
import * as directorySpecification from './DirectorySpecification';
import * as traces from './Traces';

type Deliver = (directory: directoryModule.Directory) => void;

function recordOf(server: number, revision: number): directoryTypes.DirectoryRecord {
  const id = `${server}`;
  const registration = { id, address: id, state: 'ready', startedAtMs: 1 };
  return { kind: 'server', revision, server: registration as directoryTypes.IRegistration };
}

function copyOf<T>(value: T): T {
  return JSON.parse(JSON.stringify(value)) as T;
}

/** Directories of the product, driven by the events of the specification. */
class RealDirectories {
  public readonly directories: directoryModule.Directory[];

  private readonly pending = new Map<number, Deliver>();

  public constructor(
    private readonly specification: directorySpecification.DirectorySpecification,
    count: number,
  ) {
    this.directories = Array.from({ length: count }, () => RealDirectories.make());
  }

  public apply(
    state: directoryProtocol.IFleetState,
    event: directoryProtocol.DirectoryEvent,
  ): void {
    if (event.type === 'change' || event.type === 'forget-history') return;
    const { daemon } = event;
    if (event.type === 'restart') {
      this.directories[daemon] = RealDirectories.make();
      this.pending.delete(daemon);
    } else if (event.type === 'arrive') {
      this.pending.get(daemon)?.(this.directoryOf(daemon));
      this.pending.delete(daemon);
    } else {
      const deliver = this.deliveryFrom(state, daemon, event.source);
      if (event.type === 'send') this.pending.set(daemon, deliver);
      else deliver(this.directoryOf(daemon));
    }
  }

  /** Revision and server revisions of each directory. */
  public get contents(): readonly unknown[] {
    return this.directories.map(({ revision, listing }) => ({
      revision,
      servers: listing.records.map((record) => record.revision),
    }));
  }

  private static make(): directoryModule.Directory {
    return new directoryModule.Directory(new manualClock.ManualClock());
  }

  private directoryOf(daemon: number): directoryModule.Directory {
    return this.directories[daemon] as directoryModule.Directory;
  }

  private deliveryFrom(
    state: directoryProtocol.IFleetState,
    daemon: number,
    source: directoryProtocol.Source,
  ): Deliver {
    if (source.from === 'peer') {
      const peer = this.directoryOf(source.peer);
      const changes = copyOf(peer.changesSince(this.directoryOf(daemon).revision) ?? null);
      const listing = copyOf(peer.listing);
      if (changes === null) return (directory) => directory.replace(listing);
      return (directory) => directory.apply(changes.records, changes.revision);
    }
    if (source.from === 'watch') {
      const since = this.directoryOf(daemon).revision;
      const records = state.store.log
        .map(({ server, removed }, index): directoryTypes.DirectoryRecord => {
          const revision = index + 1;
          if (!removed) return recordOf(server, revision);
          return { kind: 'server-removed', revision, id: `${server}` };
        })
        .slice(since);
      return (directory) => directory.apply(records, state.store.log.length);
    }
    const { servers, revision } = this.specification.contentOf(state, daemon, source);
    const records = servers.flatMap((entryRevision, server) =>
      entryRevision > 0 ? [recordOf(server, entryRevision)] : [],
    );
    return (directory) => directory.replace({ records, revision });
  }
}

function replay(
  specification: directorySpecification.DirectorySpecification,
  events: readonly directoryProtocol.DirectoryEvent[],
): void {
  let state = specification.initial;
  const real = new RealDirectories(specification, state.daemons.length);
  events.forEach((event) => {
    real.apply(state, event);
    state = specification.next(state, event);
  });
  const specified = state.daemons.map(({ revision, servers }) => ({
    revision,
    servers: servers.filter((entryRevision) => entryRevision > 0),
  }));
  const sorted = real.contents.map((content) => {
    const { revision, servers } = content as { revision: number; servers: number[] };
    return { revision, servers: servers.sort((left, right) => left - right) };
  });
  specified.forEach(({ servers }) => servers.sort((left, right) => left - right));
  expect(sorted).toEqual(specified);
}

test('the directory matches the specification on a trace to every state with two revisions', () => {
  const bounds = { ...directoryProtocol.DEFAULT_DIRECTORY_BOUNDS, maxRevision: 2 };
  const specification = new directorySpecification.DirectorySpecification(undefined, bounds);
  traces.tracesToAllStates(specification).forEach((events) => replay(specification, events));
});

test('the directory matches the specification on random traces of three daemons with restarts', () => {
  const bounds = { daemons: 3, servers: 3, maxRevision: 12, maxRestarts: 2, delayed: 3 };
  const specification = new directorySpecification.DirectorySpecification(undefined, bounds);
  const random = new seededRandom.SeededRandom(21);
  for (let run = 0; run < 300; run += 1) {
    replay(specification, traces.randomTrace(specification, 40, random));
  }
});
