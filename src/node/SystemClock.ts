import * as perfHooks from 'node:perf_hooks';

import type * as types from '../common/Types';

/** The clock of the operating system. */
export class SystemClock implements types.IClock {
  public monotonicMs(): number {
    return perfHooks.performance.now();
  }

  public wallTime(): Date {
    return new Date();
  }

  public setTimer(delayMs: number, callback: () => void): types.IDisposable {
    const handle = setTimeout(callback, Math.max(0, delayMs));
    return { dispose: () => clearTimeout(handle) };
  }
}
