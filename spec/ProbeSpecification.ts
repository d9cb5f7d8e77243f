import type * as specTypes from './Types';

/**
 * Models probe permits (design 5.4) for three daemons with one permit each and a budget of three
 * probes per second. A tick is half a second. A daemon may act later than the earliest possible
 * time, which covers pauses. A probe may arrive at any time while its connection is open, which
 * covers delay and partition. After the connection is reset or the process has ended, the probe
 * arrives within `PACKET_LIFE_TICKS` or never, which is an assumption about the network.
 */

const SECOND_TICKS = 2;
const TIMEOUT_TICKS = 2;
const WAIT_AFTER_REPLY_TICKS = SECOND_TICKS;
const WAIT_AFTER_TIMEOUT_TICKS = 2 * SECOND_TICKS;
const WAIT_AFTER_START_TICKS = 2 * SECOND_TICKS;
const PACKET_LIFE_TICKS = SECOND_TICKS;
/** Without a reset, the kernel retransmits the packets of a closed connection for a long time. */
const UNRESET_LIFE_TICKS = 4 * SECOND_TICKS;

export interface IPermitState {
  /** Ticks until the permit is free. */
  readonly wait: number;
  /** Ticks since the probe was sent, at most the timeout, or -1 if none is in flight. */
  readonly age: number;
  /** Whether the probe in flight has reached the server. */
  readonly arrived: boolean;
}

export interface IProbingDaemonState {
  readonly permits: readonly IPermitState[];
  /** Remaining packet lifetimes, in ticks, of abandoned probes that have not arrived, ascending. */
  readonly late: readonly number[];
}

export interface IProbeState {
  readonly daemons: readonly IProbingDaemonState[];
  /** Probes that arrived in the previous tick and in this one: a window of one second. */
  readonly arrivals: readonly [number, number];
}

export type ProbeEvent =
  | { readonly type: 'tick' }
  | { readonly type: 'send'; readonly daemon: number; readonly permit: number }
  | { readonly type: 'arrive'; readonly daemon: number; readonly permit: number }
  | { readonly type: 'arrive-late'; readonly daemon: number; readonly index: number }
  | { readonly type: 'receive-reply'; readonly daemon: number; readonly permit: number }
  | { readonly type: 'time-out'; readonly daemon: number; readonly permit: number }
  | { readonly type: 'restart'; readonly daemon: number };

export const PROBE_MUTANTS = {
  'free-after-send': 'a permit is free one second after its probe was sent',
  'free-at-reply': 'a permit is free as soon as the reply arrives',
  'free-soon-after-timeout': 'a permit is free one second after its probe timed out',
  'start-with-free-permits': 'a new process can send probes at once',
  'share-by-live-members': 'each side of a partition divides the budget among its own members',
  'no-reset-after-timeout': 'the connection of a probe that timed out is closed without a reset',
  'long-packet-life-after-exit':
    'violates the assumption that packets of an ended process arrive within a second or never',
} as const;

export type ProbeMutant = keyof typeof PROBE_MUTANTS;

const DEFAULT_DAEMONS = 3;

function addLate(late: readonly number[], count: number, isLong: boolean): readonly number[] {
  const life = isLong ? UNRESET_LIFE_TICKS : PACKET_LIFE_TICKS;
  const added = Array.from({ length: count }, () => life);
  return [...late, ...added].sort((left, right) => left - right);
}

/** Specification of probe permits, without the rule that a mutant removes. */
export class ProbeSpecification implements specTypes.ISpecification<IProbeState, ProbeEvent> {
  public readonly name = 'probe permits';

  public readonly initial: IProbeState;

  public readonly invariants: readonly specTypes.IInvariant<IProbeState>[];

  /** @param budget Number of daemons, and of the probes per second that they share. */
  public constructor(
    private readonly mutant?: ProbeMutant,
    private readonly budget = DEFAULT_DAEMONS,
  ) {
    this.invariants = [
      {
        name: 'probes that arrive within any second do not exceed the budget',
        holds: (_before, { arrivals }) => arrivals[0] + arrivals[1] <= budget,
      },
    ];
    const daemons = Array.from({ length: budget }, () => this.newDaemon([]));
    this.initial = { daemons, arrivals: [0, 0] };
  }

  public enabledEvents(state: IProbeState): readonly ProbeEvent[] {
    const events = state.daemons.flatMap((_daemon, index) =>
      this.enabledEventsOfDaemon(state, index),
    );
    return [{ type: 'tick' }, ...events];
  }

  public next(state: IProbeState, event: ProbeEvent): IProbeState {
    if (event.type === 'tick') {
      const daemons = state.daemons.map((daemon) => this.tick(daemon));
      return { daemons, arrivals: [state.arrivals[1], 0] };
    }
    const daemons = [...state.daemons];
    daemons[event.daemon] = this.nextDaemon(state, event);
    const hasArrived = event.type === 'arrive' || event.type === 'arrive-late';
    const { arrivals } = state;
    return { daemons, arrivals: hasArrived ? [arrivals[0], arrivals[1] + 1] : arrivals };
  }

  private newDaemon(late: readonly number[]): IProbingDaemonState {
    const permitCount = this.mutant === 'share-by-live-members' ? this.budget : 1;
    const wait = this.mutant === 'start-with-free-permits' ? 0 : WAIT_AFTER_START_TICKS;
    const permit = { wait, age: -1, arrived: false };
    return { permits: Array.from({ length: permitCount }, () => permit), late };
  }

  private enabledEventsOfDaemon(state: IProbeState, daemon: number): ProbeEvent[] {
    const { permits, late } = state.daemons[daemon] as IProbingDaemonState;
    const events = permits.flatMap<ProbeEvent>(({ wait, age, arrived }, permit) => {
      if (age === -1) return wait === 0 ? [{ type: 'send', daemon, permit }] : [];
      return [
        ...(arrived
          ? [{ type: 'receive-reply', daemon, permit } as const]
          : [{ type: 'arrive', daemon, permit } as const]),
        ...(age >= TIMEOUT_TICKS ? [{ type: 'time-out', daemon, permit } as const] : []),
      ];
    });
    late.forEach((_life, index) => events.push({ type: 'arrive-late', daemon, index }));
    events.push({ type: 'restart', daemon });
    return events;
  }

  private tick({ permits, late }: IProbingDaemonState): IProbingDaemonState {
    return {
      permits: permits.map(({ wait, age, arrived }) => ({
        wait: Math.max(0, wait - 1),
        age: age === -1 ? -1 : Math.min(age + 1, TIMEOUT_TICKS),
        arrived,
      })),
      late: late.filter((life) => life > 0).map((life) => life - 1),
    };
  }

  private nextDaemon(
    state: IProbeState,
    event: Exclude<ProbeEvent, { type: 'tick' }>,
  ): IProbingDaemonState {
    const daemon = state.daemons[event.daemon] as IProbingDaemonState;
    if (event.type === 'restart') {
      const inFlight = daemon.permits.filter(({ age, arrived }) => age !== -1 && !arrived);
      const isLong = this.mutant === 'long-packet-life-after-exit';
      return this.newDaemon(addLate(daemon.late, inFlight.length, isLong));
    }
    if (event.type === 'arrive-late') {
      return { ...daemon, late: daemon.late.filter((_life, index) => index !== event.index) };
    }
    const permits = [...daemon.permits];
    const permit = permits[event.permit] as IPermitState;
    permits[event.permit] = this.nextPermit(permit, event.type);
    const isLost = event.type === 'time-out' && !permit.arrived;
    const isLong = this.mutant === 'no-reset-after-timeout';
    return { permits, late: isLost ? addLate(daemon.late, 1, isLong) : daemon.late };
  }

  private nextPermit(
    permit: IPermitState,
    type: 'send' | 'arrive' | 'receive-reply' | 'time-out',
  ): IPermitState {
    const { mutant } = this;
    const freesAfterSend = mutant === 'free-after-send';
    switch (type) {
      case 'send':
        return { wait: freesAfterSend ? SECOND_TICKS : 0, age: 0, arrived: false };
      case 'arrive':
        return { ...permit, arrived: true };
      case 'receive-reply': {
        const wait = mutant === 'free-at-reply' ? 0 : WAIT_AFTER_REPLY_TICKS;
        return { wait: freesAfterSend ? permit.wait : wait, age: -1, arrived: false };
      }
      default: {
        const isShort = mutant === 'free-soon-after-timeout';
        const wait = isShort ? SECOND_TICKS : WAIT_AFTER_TIMEOUT_TICKS;
        return { wait: freesAfterSend ? permit.wait : wait, age: -1, arrived: false };
      }
    }
  }
}
