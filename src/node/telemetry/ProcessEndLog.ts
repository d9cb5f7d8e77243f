import type * as bunyan from 'bunyan';

import type * as types from '../../common/Types';
import type * as serverTypes from '../server/Types';
import * as names from './Names';

/** Events of a Node.js process that precede its end. */
export interface IEndingProcess {
  on(event: 'uncaughtExceptionMonitor', listener: (error: Error, origin: string) => void): unknown;
  on(event: 'exit', listener: (code: number) => void): unknown;
}

/** State of the daemon at its end. */
export interface IEndState {
  readonly phase: serverTypes.Phase;
  /** Requests of callers without a response, if the daemon counts them. */
  readonly exchangesInFlight?: number;
}

/** Log stream that can be written at once when the process ends. */
export interface IEndStream {
  flushNow(): void;
}

/**
 * Logs each error that nothing caught, and the end of the process with its exit code, before the
 * process is gone.
 */
export class ProcessEndLog {
  private readonly startMs: number;

  public constructor(
    private readonly process: IEndingProcess,
    private readonly logger: bunyan,
    private readonly stream: IEndStream,
    private readonly clock: types.IClock,
    private readonly readState: () => IEndState,
  ) {
    this.startMs = clock.monotonicMs();
  }

  public start(): void {
    this.process.on('uncaughtExceptionMonitor', (error, origin) =>
      this.recordUncaught(error, origin),
    );
    this.process.on('exit', (code) => this.recordExit(code));
  }

  private recordUncaught(error: Error, origin: string): void {
    const fields = { event: names.UNCAUGHT_ERROR, err: error, origin, ...this.state };
    this.logger.fatal(fields, 'an error was not caught');
    this.stream.flushNow();
  }

  private recordExit(code: number): void {
    const fields = { event: names.PROCESS_ENDED, code, ...this.state };
    if (code === 0) this.logger.info(fields, 'process ended');
    else this.logger.error(fields, 'process ended');
    this.stream.flushNow();
  }

  private get state() {
    const { phase, exchangesInFlight } = this.readState();
    const ageMs = Math.round(this.clock.monotonicMs() - this.startMs);
    return { phase, exchangesInFlight, ageMs };
  }
}
