import * as util from 'node:util';
import * as zlib from 'node:zlib';

import type * as bunyan from 'bunyan';

import type * as confirmationModule from '../../common/directory/Confirmation';
import * as directoryModule from '../../common/directory/Directory';
import type * as directoryTypes from '../../common/directory/Types';
import * as configurationChanges from '../../common/routing/ConfigurationChanges';
import type * as gossipAgent from '../../common/membership/GossipAgent';
import type * as types from '../../common/Types';
import type * as fleetTypes from '../fleet/Types';
import type * as peer from '../peer/generated/peer';
import * as names from '../telemetry/Names';
import * as fetchTurns from './FetchTurns';
import * as relayedConfigurations from './RelayedConfigurations';
import * as relayedDirectory from './RelayedDirectory';

const gzip = util.promisify(zlib.gzip);
const gunzip = util.promisify(zlib.gunzip);

const NO_NEWER_VERSION: peer.FetchTableReply = { version: 0, compressedText: Buffer.alloc(0) };

/** Longest grace period accepted from a peer, in milliseconds. */
const MAX_GRACE_MS = directoryModule.EXPIRY_GRACE_MS;

/** Size limit of a decompressed directory, in bytes. */
const MAX_DIRECTORY_BYTES = 16 * 1024 * 1024;

/**
 * Time that a daemon that reads the directory service itself waits for that read before it fetches
 * from a peer, in milliseconds.
 */
const LOCAL_READ_GRACE_MS = 400;

/** A reply, kept because many peers ask for the same changes at the same moment. */
interface ICachedReply {
  readonly newerThan: number;
  readonly revision: number;
  readonly hasConfiguration: boolean;
  readonly reply: Promise<peer.FetchTableReply>;
}

async function unpack(bytes: Uint8Array): Promise<string> {
  const text = await gunzip(bytes, { maxOutputLength: MAX_DIRECTORY_BYTES });
  return text.toString('utf8');
}

/**
 * Fetches the directory from peers with a newer revision, and adopts their confirmations that it is
 * up to date.
 */
export class DirectorySync implements fleetTypes.IPeerSync {
  private readonly turns: fetchTurns.FetchTurns;

  private readonly configurations = new relayedConfigurations.RelayedConfigurations();

  private cachedReply: ICachedReply | undefined;

  /** @param expectsOwnRead Returns whether a change is likely to come from an own read first. */
  public constructor(
    private readonly directory: directoryModule.Directory,
    private readonly confirmation: confirmationModule.Confirmation,
    private readonly expectsOwnRead: () => boolean,
    private readonly peers: Pick<fleetTypes.IPeerSender, 'fetchTable'>,
    private readonly logger: bunyan,
    private readonly clock: types.IClock,
  ) {
    this.turns = new fetchTurns.FetchTurns(clock);
    directory.onChanged(() => this.configurations.record(directory.configuration));
  }

  /**
   * Fetches the directory of a peer with a newer revision, unless this daemon's own read delivers
   * it first. Then adopts the confirmation of the peer, unless its revision is still newer.
   */
  public async syncFrom(address: string, table: gossipAgent.ITableState): Promise<void> {
    const receivedMs = this.clock.monotonicMs();
    if (table.version > this.directory.revision) await this.catchUp(address, table.version);
    if (table.ageMs === undefined || table.version > this.directory.revision) return;
    this.confirmation.confirm(table.ageMs + this.clock.monotonicMs() - receivedMs);
  }

  /**
   * Replies with the changes that the peer lacks, or with a full listing if the history of changes
   * does not go back that far.
   */
  public async reply(request: peer.FetchTableRequest): Promise<peer.FetchTableReply> {
    const { newerThan, configurationVersion } = request;
    if (this.directory.revision <= newerThan) return NO_NEWER_VERSION;
    // Peers of earlier versions expect the configuration among the records.
    if (configurationVersion === undefined) return this.changesFor(newerThan, true);
    const [changes, compressedConfiguration] = await Promise.all([
      this.changesFor(newerThan, false),
      this.configurationFor(configurationVersion),
    ]);
    return { ...changes, compressedConfiguration };
  }

  /** Returns the changes that a peer lacks, with the configuration among them or without it. */
  private changesFor(newerThan: number, hasConfiguration: boolean): Promise<peer.FetchTableReply> {
    const { revision, graceRemainingMs } = this.directory;
    const cached = this.cachedReply;
    const isCurrent =
      cached?.newerThan === newerThan &&
      cached.revision === revision &&
      cached.hasConfiguration === hasConfiguration;
    // The remaining grace period changes with time, and must not be sent too long.
    if (isCurrent && graceRemainingMs === 0) return cached.reply;
    const reply = this.compose(newerThan, hasConfiguration);
    this.cachedReply = { newerThan, revision, hasConfiguration, reply };
    return reply;
  }

  private async compose(
    newerThan: number,
    hasConfiguration: boolean,
  ): Promise<peer.FetchTableReply> {
    const { directory } = this;
    const changes = directory.changesSince(newerThan);
    const { records, revision } = changes ?? directory.listing;
    const sent = records.filter(({ kind }) => hasConfiguration || kind !== 'configuration');
    const message: relayedDirectory.IRelayedDirectory = {
      kind: changes === undefined ? 'listing' : 'changes',
      content: { records: sent, revision },
      graceRemainingMs: directory.graceRemainingMs,
    };
    const compressedText = await gzip(JSON.stringify(message));
    return { version: revision, compressedText };
  }

  /** Returns the configuration, packed for a peer, if it is newer than that of the peer. */
  private async configurationFor(knownVersion: number): Promise<Uint8Array | undefined> {
    const active = this.directory.configurationRecord;
    if (active === undefined || active.configuration.version <= knownVersion) return undefined;
    return this.configurations.bytesFor(active, knownVersion);
  }

  private async catchUp(address: string, version: number): Promise<void> {
    if (this.expectsOwnRead()) await this.waitForLocalRead();
    if (version <= this.directory.revision) return;
    await this.turns.run(async () => {
      if (version > this.directory.revision) await this.fetch(address);
    });
  }

  private waitForLocalRead(): Promise<void> {
    return new Promise((resolve) => {
      this.clock.setTimer(LOCAL_READ_GRACE_MS, resolve);
    });
  }

  /** @param configurationVersion Version of which the peer may send changes; 0 for none. */
  private async fetch(
    address: string,
    configurationVersion = this.directory.configuration?.version ?? 0,
  ): Promise<void> {
    const before = this.directory.revision;
    const startMs = this.clock.monotonicMs();
    const request = { newerThan: before, configurationVersion };
    const fetched = await this.peers.fetchTable(address, request);
    if (!fetched.ok || fetched.value.compressedText.length === 0) return;
    const receivedMs = this.clock.monotonicMs();
    const { compressedText, compressedConfiguration } = fetched.value;
    try {
      const relayed = relayedDirectory.parse(await unpack(compressedText));
      // Applied with the changes or not at all: their revision says that all up to it are known.
      if (compressedConfiguration === undefined) this.applyRelayed(relayed);
      else
        this.applyWithConfiguration(
          relayed,
          compressedConfiguration,
          await unpack(compressedConfiguration),
        );
      const { kind, omitted } = relayed;
      if (omitted > 0)
        this.logger.warn({ address, omitted }, 'servers in the directory of a peer cannot be used');
      const { revision } = this.directory;
      const cost = {
        bytes: compressedText.length + (compressedConfiguration?.length ?? 0),
        fetchMs: Math.round(receivedMs - startMs),
        applyMs: Math.round(this.clock.monotonicMs() - receivedMs),
      };
      const fields = { event: names.DIRECTORY_RELAYED, address, kind, before, revision, ...cost };
      this.logger.info(fields, 'directory synced from peer');
    } catch (error) {
      this.logger.warn({ err: error, address }, 'failed to decode directory from peer');
      // The changes may not be those of the configuration here; the whole of it is.
      if (compressedConfiguration && configurationVersion > 0) await this.fetch(address, 0);
    }
  }

  /** Returns the whole configuration. Throws if changes are not those of the active one. */
  private toRecord(
    content: relayedDirectory.ConfigurationContent,
  ): directoryTypes.ConfigurationRecord {
    if (content.kind === 'configuration') return content;
    const { revision, changes } = content;
    const base = this.directory.configuration;
    if (base === undefined) throw new RangeError('there is no configuration to change');
    const configuration = configurationChanges.apply(base, changes);
    return { kind: 'configuration', revision, configuration };
  }

  private applyWithConfiguration(
    relayed: relayedDirectory.IRelayedDirectory,
    bytes: Uint8Array,
    text: string,
  ): void {
    const content = relayedDirectory.parseConfiguration(text);
    const record = this.toRecord(content);
    this.applyRelayed(relayed, record);
    if (this.directory.configuration === record.configuration)
      this.configurations.keep(content, bytes);
  }

  private applyRelayed(
    { kind, content, graceRemainingMs = 0 }: relayedDirectory.IRelayedDirectory,
    configuration?: directoryTypes.ConfigurationRecord,
  ): void {
    const { revision } = content;
    const records = configuration ? [configuration, ...content.records] : content.records;
    this.directory.startGracePeriod(Math.min(graceRemainingMs, MAX_GRACE_MS));
    if (kind === 'changes') this.directory.apply(records, revision);
    else this.directory.replace({ records, revision });
  }
}
