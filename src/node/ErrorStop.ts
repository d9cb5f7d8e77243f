import type * as types from '../common/Types';

const EXIT_FAILED = 1;

/** Time after the grace period at which the process ends even if its stop has not, in milliseconds. */
const STOP_OVERRUN_MS = 500;

/** The part of a Node.js process that tells of uncaught errors and ends it. */
export interface IFailingProcess {
  exitCode?: number | string | null | undefined;
  on(event: 'uncaughtException', listener: () => void): unknown;
  exit(code: number): void;
}

/** The part of a daemon that is stopped. */
export interface IStoppableDaemon {
  /** Time that a graceful stop takes at most, in milliseconds; undefined if the calls decide. */
  readonly stopGrace: number | undefined;
  stop(): Promise<void>;
}

/**
 * Stops the daemon gracefully after an error that nothing caught, so that the requests of other
 * callers are still answered, and ends the process with exit code 1. Its state may be inconsistent,
 * so that it does not go on for longer. Further errors do not end it sooner.
 */
export class ErrorStop {
  private hasBegun = false;

  public constructor(
    private readonly process: IFailingProcess,
    private readonly daemon: IStoppableDaemon,
    private readonly clock: types.IClock,
  ) {}

  public start(): void {
    this.process.on('uncaughtException', () => this.begin());
  }

  private begin(): void {
    if (this.hasBegun) return;
    this.hasBegun = true;
    this.process.exitCode = EXIT_FAILED;
    const exit = () => this.process.exit(EXIT_FAILED);
    const { stopGrace } = this.daemon;
    if (stopGrace !== undefined) this.clock.setTimer(stopGrace + STOP_OVERRUN_MS, exit);
    this.daemon.stop().then(exit, exit);
  }
}
