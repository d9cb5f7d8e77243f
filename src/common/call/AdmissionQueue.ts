import type * as types from '../Types';
import type * as concurrencyLimit from './ConcurrencyLimit';

/** Longest part of its remaining time that a call may spend waiting for admission. */
const MAX_WAIT_SHARE = 0.5;

/** Weight of the newest duration in the moving average. */
const DURATION_SMOOTHING = 0.1;

/** A call that asks for admission. */
export interface ITicket {
  /** Calls deeper in a call tree go first: work was already spent on them. */
  readonly nested: boolean;
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

/** Holds the calls of one service while its servers are busy. */
export class AdmissionQueue {
  private readonly nested: IWaiting[] = [];

  private readonly outer: IWaiting[] = [];

  private running = 0;

  private durationMs = 0;

  public constructor(
    private readonly limit: concurrencyLimit.ConcurrencyLimit,
    private readonly clock: types.IClock,
  ) {}

  /** Calls that run now. */
  public get inFlight(): number {
    return this.running;
  }

  /** Calls that wait. */
  public get waiting(): number {
    return this.nested.length + this.outer.length;
  }

  /** Admits a call, lets it wait, or refuses it. */
  public enter(ticket: ITicket): Admission {
    if (this.waiting === 0 && this.running < this.limit.value) {
      this.running += 1;
      return 'admitted';
    }
    const nowMs = this.clock.monotonicMs();
    const longestWaitMs = (ticket.deadlineMs - nowMs) * MAX_WAIT_SHARE;
    if (this.expectedWaitMs(ticket.nested) > longestWaitMs) return 'refused';
    const line = ticket.nested ? this.nested : this.outer;
    line.push({ ticket, latestStartMs: nowMs + longestWaitMs });
    return 'waiting';
  }

  /** Takes a call out of the queue that its caller has given up. */
  public withdraw(ticket: ITicket): void {
    [this.nested, this.outer].forEach((line) => {
      const index = line.findIndex((entry) => entry.ticket === ticket);
      if (index >= 0) line.splice(index, 1);
    });
  }

  /** Records the end of an admitted call, and admits those that now may start. */
  public leave(durationMs: number): void {
    this.running -= 1;
    this.durationMs += DURATION_SMOOTHING * (durationMs - this.durationMs);
    this.admitWaiting();
  }

  private admitWaiting(): void {
    while (this.waiting > 0 && this.running < this.limit.value) {
      const next = (this.nested.shift() ?? this.outer.shift()) as IWaiting;
      if (next.latestStartMs < this.clock.monotonicMs()) {
        next.ticket.onShed();
      } else {
        this.running += 1;
        next.ticket.onAdmitted();
      }
    }
  }

  private expectedWaitMs(nested: boolean): number {
    const ahead = nested ? this.nested.length : this.waiting;
    return ((ahead + 1) * this.durationMs) / Math.max(1, this.limit.value);
  }
}
