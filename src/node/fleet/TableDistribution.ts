import * as timers from 'node:timers/promises';
import * as util from 'node:util';
import * as zlib from 'node:zlib';

import type * as bunyan from 'bunyan';

import type * as gossipAgent from '../../common/membership/GossipAgent';
import * as tableHolder from '../../common/table/TableHolder';
import * as tableParser from '../../common/table/TableParser';
import type * as tableTypes from '../../common/table/Types';
import type * as types from '../../common/Types';
import type * as peer from '../peer/generated/peer';
import type * as fleetTypes from './Types';

const gzip = util.promisify(zlib.gzip);
const gunzip = util.promisify(zlib.gunzip);

const NO_NEWER_VERSION: peer.FetchTableReply = { version: 0, compressedText: Buffer.alloc(0) };

/** Limit on the problems of a rejected table in a log line. The status contains all of them. */
const MAX_LOGGED_PROBLEMS = 20;

/** A table that was refused, because it is invalid or conflicts with the active one. */
export interface IRefusedTable {
  /** `platform`, or the address of the peer that it came from. */
  readonly source: string;
  readonly at: Date;
  readonly offer: Extract<tableTypes.TableOfferResult, { kind: 'invalid' | 'conflict' }>;
}

/** Activates published tables, and distributes them to peers with an older one. */
export class TableDistribution {
  public readonly table = new tableHolder.TableHolder();

  /** Distinct conflicts seen so far, as version and hash. */
  private readonly conflicts = new Set<string>();

  private rejectedTables = 0;

  private refused: IRefusedTable | undefined;

  private refusedText: string | undefined;

  private fetching = false;

  private compressed: { readonly version: number; readonly bytes: Promise<Buffer> } | undefined;

  public constructor(
    private readonly peers: fleetTypes.IPeerSender,
    private readonly logger: bunyan,
    private readonly clock: types.IClock,
  ) {}

  /** Number of distinct tables that conflicted with the active one. */
  public get conflictCount(): number {
    return this.conflicts.size;
  }

  /** Number of invalid tables that were offered. Consecutive offers of the same text count once. */
  public get rejectedCount(): number {
    return this.rejectedTables;
  }

  /** The last table that was refused, or undefined. Cleared when a table becomes active. */
  public get lastRefused(): IRefusedTable | undefined {
    return this.refused;
  }

  /**
   * Parses a table, which becomes active if it is valid and newer. Ignores the active and the last
   * refused text.
   */
  public async offer(text: string, source: string): Promise<void> {
    if (text === this.table.current?.text || text === this.refusedText) return;
    const parsed = await tableParser.TableParser.parseInSlices(text, () => timers.setImmediate());
    const offer = this.table.offerParsed(parsed);
    if (offer.kind === 'accepted') {
      this.refused = undefined;
      this.refusedText = undefined;
      this.logger.info({ tableVersion: offer.table.version, source }, 'table accepted');
    } else if (offer.kind === 'invalid') {
      this.recordRefusal(text, { source, at: this.clock.wallTime(), offer });
      this.rejectedTables += 1;
      const { problems } = offer;
      const fields = {
        problemCount: problems.length,
        problems: problems.slice(0, MAX_LOGGED_PROBLEMS),
      };
      this.logger.error({ ...fields, source }, 'published table rejected');
    } else if (offer.kind === 'conflict') {
      this.recordRefusal(text, { source, at: this.clock.wallTime(), offer });
      this.recordConflict(offer.version, offer.offeredHash, source);
    }
  }

  /** Compares the table of a peer with the active one, and fetches it if it is newer. */
  public async syncFrom(address: string, table: gossipAgent.ITableState): Promise<void> {
    const { version, hash } = table;
    const { current } = this.table;
    if (current !== undefined && version === current.version && hash !== current.hash) {
      this.recordConflict(version, hash, address);
    }
    const ownVersion = current?.version ?? 0;
    if (version <= ownVersion || this.fetching) return;
    this.fetching = true;
    try {
      await this.fetch(address, ownVersion);
    } finally {
      this.fetching = false;
    }
  }

  /** Replies with the active table if it is newer than that of the peer. */
  public async reply(request: peer.FetchTableRequest): Promise<peer.FetchTableReply> {
    const { current } = this.table;
    if (current === undefined || current.version <= request.newerThan) return NO_NEWER_VERSION;
    // Several peers fetch a new version at about the same time, so it is compressed only once.
    if (this.compressed?.version !== current.version) {
      this.compressed = { version: current.version, bytes: gzip(current.text) };
    }
    return { version: current.version, compressedText: await this.compressed.bytes };
  }

  private async fetch(address: string, newerThan: number): Promise<void> {
    const fetched = await this.peers.fetchTable(address, { newerThan });
    if (!fetched.ok || fetched.value.compressedText.length === 0) return;
    try {
      const maxOutputLength = tableParser.MAX_TABLE_BYTES;
      const text = await gunzip(fetched.value.compressedText, { maxOutputLength });
      await this.offer(text.toString('utf8'), address);
    } catch (error) {
      this.logger.warn({ err: error, address }, 'failed to decode table from peer');
    }
  }

  private recordRefusal(text: string, refused: IRefusedTable): void {
    this.refusedText = text;
    this.refused = refused;
  }

  private recordConflict(version: number, hash: string, source: string): void {
    const key = `${version} ${hash}`;
    if (this.conflicts.has(key)) return;
    this.conflicts.add(key);
    const fields = { tableVersion: version, offeredHash: hash, source };
    this.logger.error(fields, 'table conflict: same version, different content');
  }
}
