import type * as bunyan from 'bunyan';

import type * as types from '../common/Types';
import type * as listening from './server/listen';
import * as addresses from './settings/Addresses';
import * as startError from './StartError';

/** Time for which an address in use is tried again, in milliseconds. */
const IN_USE_TIMEOUT_MS = 5_000;

/** Interval between two tries, in milliseconds. */
const IN_USE_INTERVAL_MS = 100;

const IN_USE = 'EADDRINUSE';

/** A server that listens on an address. May be asked again after it has failed. */
export interface IListeningServer {
  /** @param onError Called for errors after that. */
  listen(host: string, port: number, onError: listening.ErrorListener): Promise<void>;
}

/**
 * Opens the addresses in the settings. One in use is tried again for a while: an outgoing connection
 * of another process may have its port, or the previous process may not have released it yet.
 */
export class AddressOpener implements types.IDisposable {
  private isDisposed = false;

  public constructor(
    private readonly clock: types.IClock,
    private readonly logger: bunyan,
  ) {}

  /**
   * Listens on the address of a setting. Rejects with a `StartError` if it cannot be used.
   * @returns Whether the server listens; it does not if the opener was disposed meanwhile.
   */
  public async open(setting: string, address: string, server: IListeningServer): Promise<boolean> {
    const { host, port } = addresses.split(address);
    const onError = (error: Error) =>
      this.logger.error({ setting, address, err: error }, 'connection not accepted');
    const endMs = this.clock.monotonicMs() + IN_USE_TIMEOUT_MS;
    for (let tries = 1; !this.isDisposed; tries += 1) {
      try {
        await server.listen(host, port, onError);
        return true;
      } catch (error) {
        const { message } = error as Error;
        if (!message.includes(IN_USE) || this.clock.monotonicMs() >= endMs) {
          throw new startError.StartError(setting, address, error as Error);
        }
        if (tries === 1) this.logger.warn({ setting, address }, 'address in use, trying again');
      }
      await this.wait(IN_USE_INTERVAL_MS);
    }
    return false;
  }

  /** Ends all tries. */
  public dispose(): void {
    this.isDisposed = true;
  }

  private wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.setTimer(durationMs, resolve);
    });
  }
}
