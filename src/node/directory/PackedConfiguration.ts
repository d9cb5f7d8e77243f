import * as util from 'node:util';
import * as zlib from 'node:zlib';

import type * as directoryTypes from '../../common/directory/Types';

const gzip = util.promisify(zlib.gzip);

/**
 * The active configuration in the form in which peers get it. A large one takes much longer to pack
 * than to send, so that it is packed once in the fleet and then passed on as received.
 */
export class PackedConfiguration {
  private version: number | undefined;

  private bytes: Promise<Uint8Array> | undefined;

  /** Keeps the bytes in which a peer sent a configuration. */
  public keep(version: number, bytes: Uint8Array): void {
    this.version = version;
    this.bytes = Promise.resolve(bytes);
  }

  /** Returns the packed form of the active configuration. */
  public bytesOf(active: directoryTypes.ConfigurationRecord): Promise<Uint8Array> {
    const { version } = active.configuration;
    if (this.bytes === undefined || version !== this.version) {
      this.version = version;
      this.bytes = gzip(JSON.stringify(active));
    }
    return this.bytes;
  }
}
