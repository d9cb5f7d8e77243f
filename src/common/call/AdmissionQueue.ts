import type * as types from '../Types';
import type * as concurrencyLimit from './ConcurrencyLimit';

/** Longest part of its remaining time that a call may spend waiting for admission. */
const MAX_WAIT_SHARE = 0.5;

/** Weight of the newest duration in the moving average. */
const DURATION_SMOOTHING = 0.1;

/** A call that asks for admission. */
export interface ITicket {
  /** Number of daemons that the call tree passed before this one, from 0. */
  readonly depth: number;
  /** Monotonic time in milliseconds. */
  readonly deadlineMs: number;
  /** Called once when the call may start. */
  readonly onAdmitted: () => void;
  /** Called once if the call is shed while it waits. */
  readonly onShed: () => void;
}

/** Whether a call starts now, waits, or is refused. */
export type Admission = 'admitted' | 'waiting' | 'refused';

interface IWaiting {
  readonly ticket: ITicket;
  /** Monotonic time in milliseconds from which on the call is shed. */
  readonly latestStartMs: number;
}

/** The calls of one depth. */
interface ILane {
  running: number;
  readonly waiting: IWaiting[];
}

/**
 * Holds the calls of one service while its servers are busy. The limit applies to each call depth
 * by itself: if an outer call could take the place that its own inner call waits for, the two
 * would block each other until the deadline.
 */
export class AdmissionQueue {
  private readonly lanes = new Map<number, ILane>();

  private durationMs = 0;

  public constructor(
    private readonly limit: concurrencyLimit.ConcurrencyLimit,
    private readonly clock: types.IClock,
  ) {}

  /** Calls that run now. */
  public get inFlight(): number {
    return [...this.lanes.values()].reduce((sum, lane) => sum + lane.running, 0);
  }

  /** Calls that wait. */
  public get waiting(): number {
    return [...this.lanes.values()].reduce((sum, lane) => sum + lane.waiting.length, 0);
  }

  /** Admits a call, lets it wait, or refuses it. */
  public enter(ticket: ITicket): Admission {
    const lane = this.laneOf(ticket.depth);
    if (lane.waiting.length === 0 && lane.running < this.limit.value) {
      lane.running += 1;
      return 'admitted';
    }
    const nowMs = this.clock.monotonicMs();
    const longestWaitMs = (ticket.deadlineMs - nowMs) * MAX_WAIT_SHARE;
    if (this.expectedWaitMs(lane) > longestWaitMs) return 'refused';
    lane.waiting.push({ ticket, latestStartMs: nowMs + longestWaitMs });
    return 'waiting';
  }

  /** Takes a call out of the queue that its caller has given up. */
  public withdraw(ticket: ITicket): void {
    const { waiting } = this.laneOf(ticket.depth);
    const index = waiting.findIndex((entry) => entry.ticket === ticket);
    if (index >= 0) waiting.splice(index, 1);
  }

  /** Records the end of an admitted call, and admits those that now may start. */
  public leave(ticket: ITicket, durationMs: number): void {
    const lane = this.laneOf(ticket.depth);
    lane.running -= 1;
    this.durationMs += DURATION_SMOOTHING * (durationMs - this.durationMs);
    this.admitWaiting(lane);
  }

  private admitWaiting(lane: ILane): void {
    const entry = lane;
    while (entry.waiting.length > 0 && entry.running < this.limit.value) {
      const next = entry.waiting.shift() as IWaiting;
      if (next.latestStartMs < this.clock.monotonicMs()) {
        next.ticket.onShed();
      } else {
        entry.running += 1;
        next.ticket.onAdmitted();
      }
    }
  }

  private expectedWaitMs(lane: ILane): number {
    return ((lane.waiting.length + 1) * this.durationMs) / Math.max(1, this.limit.value);
  }

  private laneOf(depth: number): ILane {
    const known = this.lanes.get(depth);
    if (known !== undefined) return known;
    const lane = { running: 0, waiting: [] };
    this.lanes.set(depth, lane);
    return lane;
  }
}
