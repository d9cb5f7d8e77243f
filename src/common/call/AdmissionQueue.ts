import type * as types from '../Types';
import type * as concurrencyLimit from './ConcurrencyLimit';

/** Longest part of its remaining time that a call may spend waiting for admission. */
const MAX_WAIT_FRACTION = 0.5;

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

interface IWaitingCall {
  readonly ticket: ITicket;
  /** Monotonic time in milliseconds from which on the call is shed. */
  readonly latestStartMs: number;
}

/** The calls of one depth. */
interface IDepthQueue {
  running: number;
  readonly waiting: IWaitingCall[];
}

/**
 * Holds the calls of one service while its servers are busy. The limit applies to each call depth
 * by itself: if an outer call could take the place that its own inner call waits for, the two
 * would block each other until the deadline.
 */
export class AdmissionQueue {
  private readonly depthQueues = new Map<number, IDepthQueue>();

  private averageDurationMs = 0;

  public constructor(
    private readonly limit: concurrencyLimit.ConcurrencyLimit,
    private readonly clock: types.IClock,
  ) {}

  /** Calls that run now. */
  public get inFlight(): number {
    return [...this.depthQueues.values()].reduce((sum, queue) => sum + queue.running, 0);
  }

  /** Calls that wait. */
  public get waiting(): number {
    return [...this.depthQueues.values()].reduce((sum, queue) => sum + queue.waiting.length, 0);
  }

  /** Admits a call, lets it wait, or refuses it. */
  public enter(ticket: ITicket): Admission {
    const queue = this.queueOf(ticket.depth);
    if (queue.waiting.length === 0 && queue.running < this.limit.value) {
      queue.running += 1;
      return 'admitted';
    }
    const nowMs = this.clock.monotonicMs();
    const longestWaitMs = (ticket.deadlineMs - nowMs) * MAX_WAIT_FRACTION;
    if (this.expectedWaitMs(queue) > longestWaitMs) return 'refused';
    queue.waiting.push({ ticket, latestStartMs: nowMs + longestWaitMs });
    return 'waiting';
  }

  /** Takes a call out of the queue that its caller has given up. */
  public withdraw(ticket: ITicket): void {
    const { waiting } = this.queueOf(ticket.depth);
    const index = waiting.findIndex((entry) => entry.ticket === ticket);
    if (index >= 0) waiting.splice(index, 1);
  }

  /** Records the end of an admitted call, and admits those that now may start. */
  public leave(ticket: ITicket, durationMs: number): void {
    const queue = this.queueOf(ticket.depth);
    queue.running -= 1;
    this.averageDurationMs += DURATION_SMOOTHING * (durationMs - this.averageDurationMs);
    this.admitWaiting(queue);
  }

  private admitWaiting(queue: IDepthQueue): void {
    const entry = queue;
    while (entry.waiting.length > 0 && entry.running < this.limit.value) {
      const next = entry.waiting.shift() as IWaitingCall;
      if (next.latestStartMs < this.clock.monotonicMs()) {
        next.ticket.onShed();
      } else {
        entry.running += 1;
        next.ticket.onAdmitted();
      }
    }
  }

  private expectedWaitMs(queue: IDepthQueue): number {
    return ((queue.waiting.length + 1) * this.averageDurationMs) / Math.max(1, this.limit.value);
  }

  private queueOf(depth: number): IDepthQueue {
    const known = this.depthQueues.get(depth);
    if (known !== undefined) return known;
    const queue = { running: 0, waiting: [] };
    this.depthQueues.set(depth, queue);
    return queue;
  }
}
