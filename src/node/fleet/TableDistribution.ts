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

const NOTHING_NEWER: peer.FetchTableReply = { version: 0, compressedText: Buffer.alloc(0) };

/** Problems of a rejected table in a log line. The status holds all of them. */
const LOGGED_PROBLEMS = 20;

/** Text that was not put in force, and why. */
export interface IRefusedTable {
  /** `platform`, or the address of the peer that it came from. */
  readonly source: string;
  readonly at: Date;
  readonly offer: Extract<tableTypes.TableOfferResult, { kind: 'invalid' | 'conflict' }>;
}

/** Brings published tables into force, and passes them on to peers with an older one. */
export class TableDistribution {
  public readonly table = new tableHolder.TableHolder();

  /** Conflicts seen so far, each pair of version and hash once. */
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

  /** Number of different tables that conflicted with the one in force. */
  public get conflictCount(): number {
    return this.conflicts.size;
  }

  /** Number of different invalid tables that were offered. */
  public get rejectedCount(): number {
    return this.rejectedTables;
  }

  /** The last table that was refused, or undefined. Cleared when a table comes into force. */
  public get lastRefused(): IRefusedTable | undefined {
    return this.refused;
  }

  /** Offers published text. Text that was refused before is not examined again. */
  public async offer(text: string, source: string): Promise<void> {
    if (text === this.table.current?.text || text === this.refusedText) return;
    const parsed = await tableParser.TableParser.parseInSlices(text, () => timers.setImmediate());
    const offer = this.table.offerParsed(parsed);
    if (offer.kind === 'accepted') {
      this.refused = undefined;
      this.refusedText = undefined;
      this.logger.info({ tableVersion: offer.table.version, source }, 'table accepted');
    } else if (offer.kind === 'invalid') {
      this.refuse(text, { source, at: this.clock.wallTime(), offer });
      this.rejectedTables += 1;
      const { problems } = offer;
      const fields = {
        problemCount: problems.length,
        problems: problems.slice(0, LOGGED_PROBLEMS),
      };
      this.logger.error({ ...fields, source }, 'published table rejected');
    } else if (offer.kind === 'conflict') {
      this.refuse(text, { source, at: this.clock.wallTime(), offer });
      this.noteConflict(offer.version, offer.offeredHash, source);
    }
  }

  /** Compares the table of a peer with the one in force, and fetches it if it is newer. */
  public async compare(address: string, table: gossipAgent.ITableState): Promise<void> {
    const { version, hash } = table;
    const { current } = this.table;
    if (current !== undefined && version === current.version && hash !== current.hash) {
      this.noteConflict(version, hash, address);
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

  /** Replies with the table in force if it is newer than the one of the peer. */
  public async reply(request: peer.FetchTableRequest): Promise<peer.FetchTableReply> {
    const { current } = this.table;
    if (current === undefined || current.version <= request.newerThan) return NOTHING_NEWER;
    // Several peers fetch a new version at the same time; it is compressed once.
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
      this.logger.warn({ err: error, address }, 'table of a peer could not be read');
    }
  }

  private refuse(text: string, refused: IRefusedTable): void {
    this.refusedText = text;
    this.refused = refused;
  }

  private noteConflict(version: number, hash: string, source: string): void {
    const key = `${version} ${hash}`;
    if (this.conflicts.has(key)) return;
    this.conflicts.add(key);
    const fields = { tableVersion: version, offeredHash: hash, source };
    this.logger.error(fields, 'table of the same version has other content');
  }
}
