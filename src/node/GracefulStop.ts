import type * as types from '../common/Types';
import type * as serverTypes from './server/Types';

/** Fraction of the grace period during which new connections are still served. */
const DRAIN_FRACTION = 0.55;

/**
 * Fraction of the grace period during which requests are served whatever their deadline. A later one
 * whose deadline is after the end is refused as not run, so that its caller can go elsewhere.
 */
const OPEN_ENDED_FRACTION = 0.45;

/** Time reserved at the end of the grace period to send the last responses, in milliseconds. */
const SHUTDOWN_RESERVE_MS = 300;

/** Time reserved at the very end to close open resources, in milliseconds. */
const CLOSE_RESERVE_MS = 150;

/** Interval between checks for calls in flight, in milliseconds. */
const CHECK_INTERVAL_MS = 20;

/** The parts of a daemon that take part in a graceful stop. */
export interface IStoppingParts {
  /** Becomes unready, tells the fleet, and goes on serving callers. */
  beginDraining(): void;
  /** Stops accepting connections. Resolves when those that are left are closed. */
  closeToCallers(): Promise<void>;
  /** Whether requests of callers or peers have no answer yet. */
  readonly isBusy: boolean;
  /** Ends the requests that are left with a response. */
  endRequests(): void;
  /** Whether bytes of responses wait to be written. */
  readonly hasUnsentBytes: boolean;
  /** Closes everything. */
  release(): Promise<void>;
  /** Called with the error of each step that fails. */
  onStepFailed(error: Error): void;
}

/**
 * Stops a daemon within its grace period: it becomes unready, keeps serving until the platform's
 * balancer notices, stops accepting connections, and finishes the calls in flight.
 */
export class GracefulStop {
  private readonly startMs: number;

  private readonly errors: Error[] = [];

  /** @param graceMs Time within which the process must end, in milliseconds. */
  public constructor(
    private readonly graceMs: number,
    private readonly parts: IStoppingParts,
    private readonly clock: types.IClock,
  ) {
    this.startMs = clock.monotonicMs();
  }

  public get times(): serverTypes.IStopTimes {
    return {
      lastOpenEndedMs: this.startMs + this.graceMs * OPEN_ENDED_FRACTION,
      endMs: this.startMs + this.graceMs - SHUTDOWN_RESERVE_MS,
    };
  }

  /**
   * Resolves when everything is closed. A step that fails cuts no request short: the others follow at
   * their time, and the first error is thrown after them.
   */
  public async run(): Promise<void> {
    const { parts } = this;
    await this.attempt(() => parts.beginDraining());
    await this.wait(this.graceMs * DRAIN_FRACTION);
    const closed = this.attempt(() => parts.closeToCallers());
    await this.waitWhile(() => parts.isBusy, this.times.endMs);
    await this.attempt(() => parts.endRequests());
    const closeAtMs = this.startMs + this.graceMs - CLOSE_RESERVE_MS;
    await this.waitWhile(() => parts.hasUnsentBytes, closeAtMs);
    await this.attempt(() => parts.release());
    await closed;
    const [error] = this.errors;
    if (error !== undefined) throw error;
  }

  private async attempt(step: () => Promise<void> | void): Promise<void> {
    try {
      await step();
    } catch (error) {
      this.errors.push(error as Error);
      this.parts.onStepFailed(error as Error);
    }
  }

  private async waitWhile(condition: () => boolean, untilMs: number): Promise<void> {
    while (condition() && this.clock.monotonicMs() < untilMs) {
      await this.wait(CHECK_INTERVAL_MS);
    }
  }

  private wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.setTimer(durationMs, resolve);
    });
  }
}
