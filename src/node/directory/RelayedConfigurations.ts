import * as util from 'node:util';
import * as zlib from 'node:zlib';

import type * as directoryTypes from '../../common/directory/Types';
import * as configurationChanges from '../../common/routing/ConfigurationChanges';
import type * as routingTypes from '../../common/routing/Types';
import type * as relayedDirectory from './RelayedDirectory';

const gzip = util.promisify(zlib.gzip);

/** Number of configurations kept, the active one included, to tell peers only what changed. */
const MAX_RECENT = 4;

/** Key of the whole configuration among the packed forms. */
const WHOLE = 'whole';

/**
 * The active configuration in the forms in which peers get it: as changes of a recent version, or
 * whole. To pack a large one takes much longer than to send it, so that each form is packed once, and
 * passed on by daemons that received it.
 */
export class RelayedConfigurations {
  /** Recent configurations, the active one last. */
  private recent: readonly routingTypes.IConfiguration[] = [];

  /** Packed forms of the active configuration, by the version that they are changes of. */
  private readonly packed = new Map<number | typeof WHOLE, Promise<Uint8Array>>();

  /** Records the active configuration. */
  public record(active: routingTypes.IConfiguration | undefined): void {
    if (active === undefined || active === this.recent.at(-1)) return;
    this.recent = [...this.recent, active].slice(-MAX_RECENT);
    this.packed.clear();
  }

  /** Keeps the form in which a peer sent the active configuration. */
  public keep(record: relayedDirectory.ConfigurationContent, bytes: Uint8Array): void {
    const key = record.kind === 'configuration' ? WHOLE : record.changes.baseVersion;
    this.packed.set(key, Promise.resolve(bytes));
  }

  /** Returns the packed form of the active configuration for a peer that has `knownVersion`. */
  public bytesFor(
    active: directoryTypes.ConfigurationRecord,
    knownVersion: number,
  ): Promise<Uint8Array> {
    this.record(active.configuration);
    const base = this.recent.find(({ version }) => version === knownVersion);
    const key = base?.version ?? WHOLE;
    const known = this.packed.get(key);
    if (known !== undefined) return known;
    const bytes = gzip(JSON.stringify(RelayedConfigurations.contentFrom(base, active)));
    this.packed.set(key, bytes);
    return bytes;
  }

  private static contentFrom(
    base: routingTypes.IConfiguration | undefined,
    active: directoryTypes.ConfigurationRecord,
  ): relayedDirectory.ConfigurationContent {
    if (base === undefined) return active;
    const { revision, configuration } = active;
    const changes = configurationChanges.diff(base, configuration);
    return { kind: 'configuration-changes', revision, changes };
  }
}
