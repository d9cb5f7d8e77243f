import type * as bunyan from 'bunyan';

import * as emitter from '../../common/Emitter';
import * as readSchedule from '../../common/table/ReadSchedule';
import type * as types from '../../common/Types';
import type * as configurationClient from '../configuration/ConfigurationClient';

type ValueName = 'table' | 'vms';

/** Reads one value of the configuration service. */
export interface IValueSource {
  read(name: ValueName, after: number): Promise<configurationClient.ReadResult>;
}

/** Handlers of new values. */
export interface IValueConsumers {
  readonly table: (text: string) => Promise<void>;
  readonly vms: (text: string) => Promise<void>;
  /** Returns the maximum fleet size of the active table, or undefined without a table. */
  readonly maxDaemons: () => number | undefined;
}

/** Counts of reads since the start. */
export interface IReadCounts {
  readonly made: number;
  readonly failed: number;
}

/** Polls the table and the VM list alternately, at a rate derived from the maximum fleet size. */
export class PlatformReader implements types.IDisposable {
  private readonly schedule: readSchedule.ReadSchedule;

  private readonly revisions: Record<ValueName, number> = { table: 0, vms: 0 };

  private readonly readEmitter = new emitter.Emitter<void>();

  private readonly attempted = new Set<ValueName>();

  private attempts = 0;

  private failures = 0;

  private isReading = false;

  private nextName: ValueName = 'table';

  private timer: types.IDisposable | undefined;

  /** Fires after each read, once its value, if any, has been processed. */
  public readonly onRead: types.Event<void> = this.readEmitter.event;

  public constructor(
    private readonly source: IValueSource,
    private readonly consumers: IValueConsumers,
    private readonly logger: bunyan,
    private readonly clock: types.IClock,
    random: types.IRandom,
  ) {
    this.schedule = new readSchedule.ReadSchedule(random);
  }

  public get counts(): IReadCounts {
    return { made: this.attempts, failed: this.failures };
  }

  /** Whether reads of the table and of the VM list have each ended, successfully or not. */
  public get hasTriedAll(): boolean {
    return this.attempted.size === 2;
  }

  /** Starts polling. Further calls have no effect. */
  public start(): void {
    if (this.timer === undefined) this.scheduleRead(this.schedule.firstDelayMs());
  }

  public dispose(): void {
    this.timer?.dispose();
  }

  private scheduleRead(delayMs: number): void {
    this.timer = this.clock.setTimer(delayMs, () => {
      // Reads that queue while the service is unresponsive would all be sent when it recovers.
      if (!this.isReading) this.startRead();
      this.scheduleRead(this.schedule.nextDelayMs(this.consumers.maxDaemons()));
    });
  }

  private startRead(): void {
    const name = this.nextName;
    this.nextName = name === 'table' ? 'vms' : 'table';
    this.isReading = true;
    this.read(name)
      .catch((error: Error) =>
        this.logger.error({ err: error, name }, 'failed to process configuration value'),
      )
      .finally(() => {
        this.isReading = false;
        this.attempted.add(name);
        this.readEmitter.fire();
      });
  }

  private async read(name: ValueName): Promise<void> {
    this.attempts += 1;
    const result = await this.source.read(name, this.revisions[name]);
    if (result.kind === 'failed') {
      this.failures += 1;
      this.logger.debug(
        { name, detail: result.detail },
        'failed to read from configuration service',
      );
    } else if (result.kind === 'value') {
      this.revisions[name] = result.value.revision;
      await this.consumers[name](result.value.text);
    }
  }
}
