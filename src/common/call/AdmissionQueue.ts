import type * as types from '../Types';
import type * as concurrencyLimit from './ConcurrencyLimit';

/** Fraction of its remaining time that a call may wait for admission. */
const MAX_WAIT_FRACTION = 0.5;

/** Weight of the newest sample in the EWMA of the call duration. */
const DURATION_SMOOTHING = 0.1;

/** A call that requests admission. */
export interface ITicket {
  /** Number of daemons above this one in the call tree; 0 for an outermost call. */
  readonly depth: number;
  /** Monotonic time in milliseconds. */
  readonly deadlineMs: number;
  /** Called once when the call may start. */
  readonly onAdmitted: () => void;
  /** Called once if the call is shed from the queue. */
  readonly onShed: () => void;
}

/** Result of an admission request. */
export type Admission = 'admitted' | 'waiting' | 'refused';

interface IWaitingCall {
  readonly ticket: ITicket;
  /** Monotonic time in milliseconds after which the call is shed. */
  readonly latestStartMs: number;
}

/** Running and queued calls of one call depth. */
interface IDepthQueue {
  running: number;
  isAdmitting: boolean;
  readonly waiting: IWaitingCall[];
}

/**
 * Admission control of one service: queues or refuses calls beyond the concurrency limit. The
 * limit applies to each call depth separately. With a common limit, outer calls could use it up
 * while they wait for their own nested calls, a deadlock that lasts until the deadline.
 */
export class AdmissionQueue {
  private readonly depthQueues = new Map<number, IDepthQueue>();

  private averageDurationMs = 0;

  public constructor(
    private readonly limit: concurrencyLimit.ConcurrencyLimit,
    private readonly clock: types.IClock,
  ) {}

  /** Number of running calls. */
  public get inFlight(): number {
    return [...this.depthQueues.values()].reduce((sum, queue) => sum + queue.running, 0);
  }

  /** Number of queued calls. */
  public get waiting(): number {
    return [...this.depthQueues.values()].reduce((sum, queue) => sum + queue.waiting.length, 0);
  }

  /** Admits a call, queues it, or refuses it. */
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

  /** Removes a call that ends before it is admitted. Has no effect if the call is not queued. */
  public withdraw(ticket: ITicket): void {
    const { waiting } = this.queueOf(ticket.depth);
    const index = waiting.findIndex((entry) => entry.ticket === ticket);
    if (index >= 0) waiting.splice(index, 1);
  }

  /** Records the end of an admitted call, and admits queued calls up to the limit. */
  public leave(ticket: ITicket, durationMs: number): void {
    const queue = this.queueOf(ticket.depth);
    queue.running -= 1;
    this.averageDurationMs += DURATION_SMOOTHING * (durationMs - this.averageDurationMs);
    this.admitWaiting(queue);
  }

  private admitWaiting(queue: IDepthQueue): void {
    const depthQueue = queue;
    // A call that ends as soon as it is admitted leaves while the loop runs, which then continues.
    if (depthQueue.isAdmitting) return;
    depthQueue.isAdmitting = true;
    try {
      while (depthQueue.waiting.length > 0 && depthQueue.running < this.limit.value) {
        this.admitNext(depthQueue);
      }
    } finally {
      depthQueue.isAdmitting = false;
    }
  }

  private admitNext(queue: IDepthQueue): void {
    const depthQueue = queue;
    const next = depthQueue.waiting.shift() as IWaitingCall;
    if (next.latestStartMs < this.clock.monotonicMs()) {
      next.ticket.onShed();
    } else {
      depthQueue.running += 1;
      next.ticket.onAdmitted();
    }
  }

  private expectedWaitMs(queue: IDepthQueue): number {
    return ((queue.waiting.length + 1) * this.averageDurationMs) / Math.max(1, this.limit.value);
  }

  private queueOf(depth: number): IDepthQueue {
    const known = this.depthQueues.get(depth);
    if (known !== undefined) return known;
    const queue = { running: 0, isAdmitting: false, waiting: [] };
    this.depthQueues.set(depth, queue);
    return queue;
  }
}
