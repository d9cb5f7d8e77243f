import type * as specTypes from './Types';

/**
 * Models table versions (design 5.1) with two publishers and a number of daemons. A published text
 * may be offered to a daemon at any later time, which covers a stale configuration service, gossip,
 * delay and partition. A replaced daemon starts without a table.
 */

export interface ITableText {
  readonly version: number;
  /** Identifies the publisher. The two publish different texts. */
  readonly content: 'a' | 'b';
}

export interface IDaemonState {
  /** Number of times that the process was replaced. */
  readonly incarnation: number;
  readonly active: ITableText | null;
  readonly ready: boolean;
  /** Whether the configuration service was queried since the start, with or without reply. */
  readonly queriedService: boolean;
  /** By index: whether a peer was queried since the start, with or without reply. */
  readonly queriedPeers: readonly boolean[];
  /**
   * Lowest version with which this process may become ready: the highest version that a peer had
   * when it started, lowered when a replaced peer loses that version. 0 if a partition existed at
   * the start or began later, and once the process is ready.
   */
  readonly peerVersion: number;
}

export interface ITableState {
  /** Sorted by version and content. */
  readonly published: readonly ITableText[];
  /** Whether a query to a peer may fail. */
  readonly partitioned: boolean;
  readonly daemons: readonly IDaemonState[];
}

export type TableEvent =
  | { readonly type: 'publish'; readonly text: ITableText }
  | { readonly type: 'read-service'; readonly daemon: number; readonly text: ITableText | null }
  | { readonly type: 'query-peer'; readonly daemon: number; readonly peer: number }
  | { readonly type: 'peer-unreachable'; readonly daemon: number; readonly peer: number }
  | { readonly type: 'begin-partition' }
  | { readonly type: 'end-partition' }
  | { readonly type: 'become-ready'; readonly daemon: number }
  | { readonly type: 'replace'; readonly daemon: number };

export const TABLE_MUTANTS = {
  'accept-older-version': 'a table with a lower version replaces the active one',
  'accept-same-version': 'a table with the same version and other content replaces the active one',
  'ready-without-peers': 'a starting daemon becomes ready before it has queried its peers',
  'stop-on-conflict': 'a daemon accepts no further table after a conflict',
} as const;

export type TableMutant = keyof typeof TABLE_MUTANTS;

export interface ITableBounds {
  readonly daemons: number;
  readonly maxVersion: number;
  readonly maxReplacements: number;
}

export const DEFAULT_TABLE_BOUNDS: ITableBounds = {
  daemons: 2,
  maxVersion: 3,
  maxReplacements: 1,
};

function newDaemon(incarnation: number, count: number, peerVersion: number): IDaemonState {
  return {
    incarnation,
    active: null,
    ready: false,
    queriedService: false,
    queriedPeers: Array.from({ length: count }, () => false),
    peerVersion,
  };
}

function byVersion(left: ITableText, right: ITableText): number {
  return left.version - right.version || left.content.localeCompare(right.content);
}

function highestPeerVersion(daemons: readonly IDaemonState[], own: number): number {
  const versions = daemons.map(({ active }, index) => (index === own ? 0 : (active?.version ?? 0)));
  return Math.max(0, ...versions);
}

/** Limits `peerVersion` to the highest version that a peer has now. */
function lowerPeerVersions(daemons: readonly IDaemonState[]): IDaemonState[] {
  return daemons.map((daemon, index) => ({
    ...daemon,
    peerVersion: Math.min(daemon.peerVersion, highestPeerVersion(daemons, index)),
  }));
}

/** Whether `offered` replaces `active`, by the rules of `TableHolder`. */
function replaces(
  offered: ITableText,
  active: ITableText | null,
  hasConflict: boolean,
  mutant: TableMutant | undefined,
): boolean {
  if (active === null) return true;
  if (mutant === 'stop-on-conflict' && hasConflict) return false;
  if (mutant === 'accept-same-version' && offered.version === active.version) return true;
  if (mutant === 'accept-older-version' && offered.version < active.version) return true;
  return offered.version > active.version;
}

const INVARIANTS: readonly specTypes.IInvariant<ITableState>[] = [
  {
    name: 'the version of a process never decreases',
    holds: (before, after) =>
      before.daemons.every(({ active, incarnation }, index) => {
        const next = after.daemons[index] as IDaemonState;
        if (active === null || next.incarnation !== incarnation) return true;
        return next.active !== null && next.active.version >= active.version;
      }),
  },
  {
    name: 'the content of a version never changes in a process',
    holds: (before, after) =>
      before.daemons.every(({ active, incarnation }, index) => {
        const next = after.daemons[index] as IDaemonState;
        if (active === null || next.incarnation !== incarnation) return true;
        return next.active?.version !== active.version || next.active.content === active.content;
      }),
  },
  {
    name: 'a daemon that starts with reachable peers becomes ready with at least their highest version',
    holds: (before, after) =>
      after.daemons.every(({ ready, active }, index) => {
        const own = before.daemons[index] as IDaemonState;
        return !ready || own.ready || (active?.version ?? 0) >= own.peerVersion;
      }),
  },
];

/** Specification of table versions, without the rule that a mutant removes. */
export class TableSpecification implements specTypes.ISpecification<ITableState, TableEvent> {
  public readonly name = 'table versions';

  public readonly initial: ITableState;

  public readonly invariants: readonly specTypes.IInvariant<ITableState>[];

  public constructor(
    private readonly mutant?: TableMutant,
    private readonly bounds = DEFAULT_TABLE_BOUNDS,
  ) {
    const { daemons } = bounds;
    this.initial = {
      published: [],
      partitioned: false,
      daemons: Array.from({ length: daemons }, () => newDaemon(0, daemons, 0)),
    };
    const convergence: specTypes.IInvariant<ITableState> = {
      name: 'a daemon activates any higher version that is offered',
      holds: (_before, after) =>
        after.published.every((text) =>
          after.daemons.every(({ active }, daemon) => {
            if (text.version <= (active?.version ?? 0)) return true;
            const offered = this.next(after, { type: 'read-service', daemon, text });
            return offered.daemons[daemon]?.active?.version === text.version;
          }),
        ),
    };
    this.invariants = [...INVARIANTS, convergence];
  }

  public enabledEvents(state: ITableState): readonly TableEvent[] {
    const change: TableEvent = { type: state.partitioned ? 'end-partition' : 'begin-partition' };
    return [
      change,
      ...this.publishEvents(state),
      ...state.daemons.flatMap((_daemon, index) => this.enabledEventsOfDaemon(state, index)),
    ];
  }

  public next(state: ITableState, event: TableEvent): ITableState {
    switch (event.type) {
      case 'publish':
        return { ...state, published: [...state.published, event.text].sort(byVersion) };
      case 'begin-partition': {
        const partitionedDaemons = state.daemons.map((daemon) => ({ ...daemon, peerVersion: 0 }));
        return { ...state, partitioned: true, daemons: partitionedDaemons };
      }
      case 'end-partition':
        return { ...state, partitioned: false };
      default:
        break;
    }
    const daemons = [...state.daemons];
    daemons[event.daemon] = this.nextDaemon(state, event);
    if (event.type === 'replace') return { ...state, daemons: lowerPeerVersions(daemons) };
    return { ...state, daemons };
  }

  /** A publisher uses the next version, or the highest one again if it has not seen that. */
  private publishEvents(state: ITableState): TableEvent[] {
    const highest = Math.max(0, ...state.published.map(({ version }) => version));
    const known = new Set(state.published.map(({ version, content }) => `${version}${content}`));
    return (['a', 'b'] as const)
      .flatMap((content) => [highest, highest + 1].map((version) => ({ version, content })))
      .filter(({ version }) => version >= 1 && version <= this.bounds.maxVersion)
      .filter(({ version, content }) => !known.has(`${version}${content}`))
      .map((text) => ({ type: 'publish', text }));
  }

  private enabledEventsOfDaemon(state: ITableState, daemon: number): TableEvent[] {
    const own = state.daemons[daemon] as IDaemonState;
    const reads = state.published.map<TableEvent>((text) => ({
      type: 'read-service',
      daemon,
      text,
    }));
    if (!own.queriedService) reads.push({ type: 'read-service', daemon, text: null });
    const queries = state.daemons.flatMap<TableEvent>((_peer, peer) => {
      if (peer === daemon || own.queriedPeers[peer] === true) return [];
      const query: TableEvent = { type: 'query-peer', daemon, peer };
      return state.partitioned ? [query, { type: 'peer-unreachable', daemon, peer }] : [query];
    });
    const hasQueriedPeers = queries.length === 0 || this.mutant === 'ready-without-peers';
    const hasQueried = own.queriedService && hasQueriedPeers;
    if (own.active !== null && hasQueried && !own.ready) {
      queries.push({ type: 'become-ready', daemon });
    }
    if (own.incarnation < this.bounds.maxReplacements) queries.push({ type: 'replace', daemon });
    return [...reads, ...queries];
  }

  private nextDaemon(
    state: ITableState,
    event: Extract<TableEvent, { daemon: number }>,
  ): IDaemonState {
    const own = state.daemons[event.daemon] as IDaemonState;
    switch (event.type) {
      case 'read-service':
        return { ...this.offer(state, own, event.text), queriedService: true };
      case 'become-ready':
        return { ...own, ready: true, peerVersion: 0 };
      case 'replace': {
        const highest = highestPeerVersion(state.daemons, event.daemon);
        const peerVersion = state.partitioned ? 0 : highest;
        return newDaemon(own.incarnation + 1, this.bounds.daemons, peerVersion);
      }
      default: {
        const queriedPeers = [...own.queriedPeers];
        queriedPeers[event.peer] = true;
        const peerTable = state.daemons[event.peer]?.active ?? null;
        const reply = event.type === 'query-peer' ? peerTable : null;
        return { ...this.offer(state, own, reply), queriedPeers };
      }
    }
  }

  private offer(state: ITableState, own: IDaemonState, text: ITableText | null): IDaemonState {
    if (text === null) return own;
    const hasConflict = state.published.some(
      ({ version, content }) => version === own.active?.version && content !== own.active.content,
    );
    const isAdopted = replaces(text, own.active, hasConflict, this.mutant);
    return isAdopted ? { ...own, active: text } : own;
  }
}
