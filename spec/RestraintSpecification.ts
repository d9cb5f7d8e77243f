import type * as specTypes from './Types';

/**
 * Models what a server states about the requests that it wants: that it leaves, and that it wants
 * none from a daemon for a while. Processes follow each other at one address, and directories may
 * lag behind. What a process stated about leaving reaches the other daemons at any later time, or
 * never. Daemons restart, and know nothing then.
 */

/** Pauses that a server may ask for, in ticks; 0 for none. */
const PAUSES = [0, 1, 2] as const;

export interface IRestrainedDaemonState {
  /** Number of restarts. */
  readonly incarnation: number;
  /** Process that the directory of this daemon lists. */
  readonly listed: number;
  /** Whether this daemon knows that a process leaves, by process. */
  readonly leaving: readonly boolean[];
  /** Remaining pause that this daemon keeps, in ticks, by process. */
  readonly pauses: readonly number[];
  /** Whether a process stated to this daemon that it leaves, by process. */
  readonly told: readonly boolean[];
  /** Remaining time for which a process asked this daemon for no requests, in ticks, by process. */
  readonly asked: readonly number[];
}

export interface IRestraintState {
  /** Process that runs at the address. */
  readonly process: number;
  /** Whether a process has stated that it leaves, by process. */
  readonly left: readonly boolean[];
  /** Whether the process that runs leaves. */
  readonly isLeaving: boolean;
  readonly daemons: readonly IRestrainedDaemonState[];
}

export type RestraintEvent =
  | { readonly type: 'leave' }
  /** Another process takes the address. */
  | { readonly type: 'replace' }
  | { readonly type: 'tick' }
  | { readonly type: 'list'; readonly daemon: number; readonly process: number }
  /** A response of the process that runs, to a request for the one that the daemon lists. */
  | { readonly type: 'respond'; readonly daemon: number; readonly pause: number }
  /** The daemon learns from a peer that a process leaves. */
  | { readonly type: 'learn'; readonly daemon: number; readonly process: number }
  | { readonly type: 'restart'; readonly daemon: number };

export const RESTRAINT_MUTANTS = {
  'leaving-by-address': 'every process at the address of one that leaves is avoided',
  'listing-ends-leaving': 'a process that the directory lists as ready is used again',
  'shorter-pause-replaces': 'a later and shorter pause replaces the one that holds',
  'pause-by-address': 'a pause holds for every process at the address',
  'pause-for-all': 'a pause holds for every daemon',
  'trust-other-process': 'what another process at the address states counts for the listed one',
} as const;

export type RestraintMutant = keyof typeof RESTRAINT_MUTANTS;

export interface IRestraintBounds {
  readonly daemons: number;
  readonly processes: number;
  readonly maxRestarts: number;
}

export const DEFAULT_RESTRAINT_BOUNDS: IRestraintBounds = {
  daemons: 2,
  processes: 2,
  maxRestarts: 1,
};

function withValue<T>(values: readonly T[], index: number, value: T): readonly T[] {
  return values.map((known, each) => (each === index ? value : known));
}

/** Returns why a daemon does not use the process that it lists, or undefined. */
export function restraintOf({
  listed,
  leaving,
  pauses,
}: IRestrainedDaemonState): 'leaving' | 'paused' | undefined {
  if (leaving[listed] === true) return 'leaving';
  return (pauses[listed] ?? 0) > 0 ? 'paused' : undefined;
}

/** Specification of what daemons do with such statements, without the rule that a mutant removes. */
export class RestraintSpecification implements specTypes.ISpecification<
  IRestraintState,
  RestraintEvent
> {
  public readonly name = 'server restraints';

  public readonly initial: IRestraintState;

  public readonly invariants: readonly specTypes.IInvariant<IRestraintState>[] = [
    {
      name: 'a daemon does not use a process that told it that it leaves',
      holds: (_before, { daemons }) =>
        daemons.every(
          (daemon) => daemon.told[daemon.listed] !== true || restraintOf(daemon) !== undefined,
        ),
    },
    {
      name: 'a daemon does not use a process before the pause that it asked for ends',
      holds: (_before, { daemons }) =>
        daemons.every(
          (daemon) => daemon.asked[daemon.listed] === 0 || restraintOf(daemon) !== undefined,
        ),
    },
    {
      name: 'a daemon uses a process that has asked it for nothing',
      holds: (_before, { daemons, left }) =>
        daemons.every(
          (daemon) =>
            left[daemon.listed] === true ||
            daemon.asked[daemon.listed] !== 0 ||
            restraintOf(daemon) === undefined,
        ),
    },
  ];

  public constructor(
    private readonly mutant?: RestraintMutant,
    private readonly bounds = DEFAULT_RESTRAINT_BOUNDS,
  ) {
    this.initial = {
      process: 0,
      left: Array.from({ length: bounds.processes }, () => false),
      isLeaving: false,
      daemons: Array.from({ length: bounds.daemons }, () => this.newDaemon(0, 0)),
    };
  }

  public enabledEvents(state: IRestraintState): readonly RestraintEvent[] {
    const { process, isLeaving, left, daemons } = state;
    const events: RestraintEvent[] = [{ type: 'tick' }];
    if (!isLeaving) events.push({ type: 'leave' });
    if (process + 1 < this.bounds.processes) events.push({ type: 'replace' });
    daemons.forEach(({ listed, incarnation }, daemon) => {
      if (listed < process) events.push({ type: 'list', daemon, process: listed + 1 });
      events.push({ type: 'list', daemon, process: listed });
      PAUSES.forEach((pause) => events.push({ type: 'respond', daemon, pause }));
      left.forEach((hasLeft, leaver) => {
        if (hasLeft) events.push({ type: 'learn', daemon, process: leaver });
      });
      if (incarnation < this.bounds.maxRestarts) events.push({ type: 'restart', daemon });
    });
    return events;
  }

  public next(state: IRestraintState, event: RestraintEvent): IRestraintState {
    switch (event.type) {
      case 'leave': {
        const left = withValue(state.left, state.process, true);
        return { ...state, left, isLeaving: true };
      }
      case 'replace':
        return { ...state, process: state.process + 1, isLeaving: false };
      case 'tick':
        return { ...state, daemons: state.daemons.map(RestraintSpecification.tick) };
      case 'respond':
        return this.respond(state, event);
      default: {
        const daemon = state.daemons[event.daemon] as IRestrainedDaemonState;
        const changed = this.nextDaemon(daemon, event);
        return { ...state, daemons: withValue(state.daemons, event.daemon, changed) };
      }
    }
  }

  private static tick(daemon: IRestrainedDaemonState): IRestrainedDaemonState {
    const shorten = (ticks: readonly number[]) => ticks.map((left) => Math.max(0, left - 1));
    return { ...daemon, pauses: shorten(daemon.pauses), asked: shorten(daemon.asked) };
  }

  private newDaemon(incarnation: number, listed: number): IRestrainedDaemonState {
    const { processes } = this.bounds;
    const none = Array.from({ length: processes }, () => false);
    const zero = Array.from({ length: processes }, () => 0);
    return { incarnation, listed, leaving: none, pauses: zero, told: none, asked: zero };
  }

  private nextDaemon(
    daemon: IRestrainedDaemonState,
    event: Extract<RestraintEvent, { type: 'list' | 'learn' | 'restart' }>,
  ): IRestrainedDaemonState {
    switch (event.type) {
      case 'list': {
        const endsLeaving = this.mutant === 'listing-ends-leaving';
        const leaving = endsLeaving
          ? withValue(daemon.leaving, event.process, false)
          : daemon.leaving;
        return { ...daemon, listed: event.process, leaving };
      }
      case 'learn':
        return { ...daemon, leaving: this.withLeaving(daemon.leaving, event.process) };
      default:
        return this.newDaemon(daemon.incarnation + 1, daemon.listed);
    }
  }

  /** Applies a response to one daemon, or with a mutant to all. */
  private respond(
    state: IRestraintState,
    { daemon: recipient, pause }: Extract<RestraintEvent, { type: 'respond' }>,
  ): IRestraintState {
    const { process, isLeaving } = state;
    const daemons = state.daemons.map((daemon, index) => {
      const { listed } = daemon;
      if (listed !== process && this.mutant !== 'trust-other-process') return daemon;
      if (index !== recipient) {
        return this.mutant === 'pause-for-all'
          ? { ...daemon, pauses: this.withPause(daemon.pauses, listed, pause) }
          : daemon;
      }
      const isOwn = listed === process;
      const asked = isOwn ? Math.max(daemon.asked[listed] as number, pause) : 0;
      return {
        ...daemon,
        leaving: isLeaving ? this.withLeaving(daemon.leaving, listed) : daemon.leaving,
        pauses: this.withPause(daemon.pauses, listed, pause),
        told: isOwn && isLeaving ? withValue(daemon.told, listed, true) : daemon.told,
        asked: isOwn ? withValue(daemon.asked, listed, asked) : daemon.asked,
      };
    });
    return { ...state, daemons };
  }

  private withLeaving(leaving: readonly boolean[], process: number): readonly boolean[] {
    const isForAll = this.mutant === 'leaving-by-address';
    return leaving.map((known, each) => known || isForAll || each === process);
  }

  private withPause(pauses: readonly number[], process: number, pause: number): readonly number[] {
    if (pause === 0) return pauses;
    const isForAll = this.mutant === 'pause-by-address';
    const replaces = this.mutant === 'shorter-pause-replaces';
    return pauses.map((known, each) => {
      if (!isForAll && each !== process) return known;
      return replaces ? pause : Math.max(known, pause);
    });
  }
}
