import * as bunyan from 'bunyan';

import type * as selectionPolicy from './common/policy/SelectionPolicy';
import type * as types from './common/Types';
import * as daemon from './node/Daemon';
import type * as serverTypes from './node/server/Types';
import type * as settings from './node/settings/Settings';
import * as systemClock from './node/SystemClock';
import * as systemRandom from './node/SystemRandom';

export { SelectionPolicy } from './common/policy/SelectionPolicy';
export type * from './common/policy/Types';
export { TableParser } from './common/table/TableParser';
export type * from './common/table/Types';
export type * from './common/Types';
export { StartError } from './node/StartError';
export type * from './node/server/Types';
export { parseSettings } from './node/settings/Settings';
export type { ISettingsProblem } from './node/settings/Problems';
export type * from './node/settings/Settings';

/** Overrides for the defaults of a daemon. Documented in `typings/lavenderspar.d.ts`. */
export interface IDaemonOptions {
  readonly clock?: types.IClock;
  readonly random?: types.IRandom;
  readonly logStream?: NodeJS.WritableStream;
  readonly makePolicy?: () => selectionPolicy.SelectionPolicy;
}

/** Public API of a daemon. Documented in `typings/lavenderspar.d.ts`. */
export class Daemon {
  private readonly inner: daemon.Daemon;

  public constructor(options: settings.Settings, parts: IDaemonOptions = {}) {
    const logger = bunyan.createLogger({
      serializers: { err: bunyan.stdSerializers.err },
      name: 'lavenderspar',
      level: options.logLevel,
      stream: parts.logStream ?? process.stdout,
    });
    this.inner = new daemon.Daemon(
      options,
      logger,
      parts.clock ?? new systemClock.SystemClock(),
      parts.random ?? new systemRandom.SystemRandom(),
      parts.makePolicy,
    );
  }

  public get phase(): serverTypes.Phase {
    return this.inner.phase;
  }

  public start(): Promise<void> {
    return this.inner.start();
  }

  public stop(): Promise<void> {
    return this.inner.stop();
  }
}
