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

/** What is done with a new value. */
export interface IValueConsumers {
  readonly table: (text: string) => Promise<void>;
  readonly vms: (text: string) => Promise<void>;
  /** Returns the size of the fleet that the table in force allows, if there is one. */
  readonly maxDaemons: () => number | undefined;
}

/** Counts of reads since the start. */
export interface IReadCounts {
  readonly made: number;
  readonly failed: number;
}

/** Reads the table and the VM list in turn, at the rate that the fleet's limit allows. */
export class PlatformReader implements types.IDisposable {
  private readonly schedule: readSchedule.ReadSchedule;

  private readonly revisions: Record<ValueName, number> = { table: 0, vms: 0 };

  private readonly readEmitter = new emitter.Emitter<void>();

  private readonly attempted = new Set<ValueName>();

  private attempts = 0;

  private failures = 0;

  private isReading = false;

  private next: ValueName = 'table';

  private timer: types.IDisposable | undefined;

  /** Fires after each read, when its value, if there was one, was taken in. */
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

  /** Whether table and VM list were each asked for, with or without success. */
  public get hasTriedAll(): boolean {
    return this.attempted.size === 2;
  }

  /** Begins to read. Calling it again has no effect. */
  public start(): void {
    if (this.timer === undefined) this.scheduleRead(this.schedule.firstDelayMs());
  }

  public dispose(): void {
    this.timer?.dispose();
  }

  private scheduleRead(delayMs: number): void {
    this.timer = this.clock.setTimer(delayMs, () => {
      // Reads that wait for a service without response would all be made at its return.
      if (!this.isReading) this.startRead();
      this.scheduleRead(this.schedule.nextDelayMs(this.consumers.maxDaemons()));
    });
  }

  private startRead(): void {
    const name = this.next;
    this.next = name === 'table' ? 'vms' : 'table';
    this.isReading = true;
    this.read(name)
      .catch((error: Error) => this.logger.error({ err: error, name }, 'value is not usable'))
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
      this.logger.debug({ name, detail: result.detail }, 'configuration service not read');
    } else if (result.kind === 'value') {
      this.revisions[name] = result.value.revision;
      await this.consumers[name](result.value.text);
    }
  }
}
