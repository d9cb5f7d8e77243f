import * as fs from 'node:fs';

import type * as types from '../../common/Types';

/** Interval at which the settings file is polled for changes, in milliseconds. */
const POLL_INTERVAL_MS = 5_000;

/** Source of the signal that asks for the settings to be read again. */
export interface ISignalSource {
  on(signal: 'SIGHUP', listener: () => void): unknown;
}

/**
 * Notices that the settings may have changed, by a SIGHUP or a change of their file. Changes before
 * `apply` is called are handled then; without a listener, a SIGHUP would end the process.
 */
export class SettingsWatch implements types.IDisposable {
  private reload: (() => Promise<void>) | undefined;

  private isDue = false;

  private isReloading = false;

  /** @param path Path of the settings file. It need not exist. */
  public constructor(
    private readonly path: string,
    private readonly signals: ISignalSource,
  ) {}

  /** Starts noticing changes. Call this before the settings are read for the first time. */
  public start(): void {
    this.signals.on('SIGHUP', this.onChanged);
    // The platform may change the file without sending a signal, and has no file notifications.
    fs.watchFile(this.path, { interval: POLL_INTERVAL_MS, persistent: false }, this.onChanged);
  }

  /**
   * Calls `reload` for each change, and for one that was noticed before. Runs it once at a time, so
   * that an older read of the file is not applied after a newer one.
   * @param reload Reads and applies the settings, and handles its errors.
   */
  public apply(reload: () => Promise<void>): void {
    this.reload = reload;
    this.reloadIfDue();
  }

  public dispose(): void {
    fs.unwatchFile(this.path, this.onChanged);
  }

  private readonly onChanged = (): void => {
    this.isDue = true;
    this.reloadIfDue();
  };

  private reloadIfDue(): void {
    if (!this.isDue || this.isReloading || this.reload === undefined) return;
    this.isDue = false;
    this.isReloading = true;
    const end = () => {
      this.isReloading = false;
      this.reloadIfDue();
    };
    this.reload().then(end, end);
  }
}
