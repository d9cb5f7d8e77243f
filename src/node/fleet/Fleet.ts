import * as util from 'node:util';
import * as zlib from 'node:zlib';

import type * as bunyan from 'bunyan';

import * as memberTable from '../../common/membership/MemberTable';
import type * as membershipTypes from '../../common/membership/Types';
import * as tableHolder from '../../common/table/TableHolder';
import type * as types from '../../common/Types';
import type * as peer from '../peer/generated/peer';
import * as platformClient from '../platform/PlatformClient';
import type * as fleetTypes from './Types';

const GOSSIP_INTERVAL_MS = 500;
const READ_INTERVAL_MS = 1_000;

const gzip = util.promisify(zlib.gzip);
const gunzip = util.promisify(zlib.gunzip);

/** This daemon's part in the fleet: the table, the members, and the exchange with peers. */
export class Fleet implements types.IDisposable {
  public readonly table = new tableHolder.TableHolder();

  public readonly members: memberTable.MemberTable;

  private readonly platform: platformClient.PlatformClient;

  private readonly incarnation: number;

  private heartbeat = 0;

  private tableRevision = 0;

  private listRevision = 0;

  private leaving = false;

  private isDisposed = false;

  private readonly timers = new Set<types.IDisposable>();

  public constructor(
    private readonly options: fleetTypes.IFleetOptions,
    private readonly peers: fleetTypes.IPeerSender,
    private readonly logger: bunyan,
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
  ) {
    this.incarnation = random.nextInteger(2 ** 48);
    this.members = new memberTable.MemberTable(options.peerAddress);
    this.platform = new platformClient.PlatformClient(options.platformUrl);
  }

  /** Whether a table is in force and the sources named in the design were asked for a newer one. */
  public get isReady(): boolean {
    return this.table.current !== undefined;
  }

  /** Begins to read the platform and to exchange with peers. Readiness follows later. */
  public start(): void {
    this.run(READ_INTERVAL_MS, () => this.readPlatform());
    this.run(GOSSIP_INTERVAL_MS, () => this.gossip());
  }

  /** Announces to the peers that this daemon is about to stop. */
  public leave(): void {
    this.leaving = true;
  }

  /** Tells that the process did not run for `gapMs`. Peers are asked for news at once. */
  public onPaused(gapMs: number): void {
    this.logger.warn({ gapMs }, 'process was paused');
    this.gossip().catch((error: Error) => this.logger.warn({ err: error }, 'exchange failed'));
  }

  /** Replies to an exchange that a peer began. */
  public receiveExchange(request: peer.ExchangeRequest): peer.ExchangeReply {
    const reply = this.ownMessage();
    this.mergeMessage(request.sender?.address ?? '', request).catch((error: Error) =>
      this.logger.warn({ err: error }, 'table of a peer could not be fetched'),
    );
    return reply;
  }

  /** Replies with the table in force if it is newer than the one of the peer. */
  public async replyTable(request: peer.FetchTableRequest): Promise<peer.FetchTableReply> {
    const table = this.table.current;
    if (table === undefined || table.version <= request.newerThan) {
      return { version: 0, compressedText: Buffer.alloc(0) };
    }
    return { version: table.version, compressedText: await gzip(table.text) };
  }

  public dispose(): void {
    this.isDisposed = true;
    this.timers.forEach((timer) => timer.dispose());
    this.platform.dispose();
  }

  private run(intervalMs: number, action: () => Promise<void>): void {
    action().then(
      () => this.repeat(intervalMs, action),
      (error: Error) => {
        this.logger.error({ err: error }, 'periodic task failed');
        this.repeat(intervalMs, action);
      },
    );
  }

  private repeat(intervalMs: number, action: () => Promise<void>): void {
    if (this.isDisposed) return;
    const delayMs = intervalMs * (0.9 + 0.2 * this.random.next());
    const timer = this.clock.setTimer(delayMs, () => {
      this.timers.delete(timer);
      this.run(intervalMs, action);
    });
    this.timers.add(timer);
  }

  private async readPlatform(): Promise<void> {
    const table = await this.platform.read('table', this.tableRevision);
    if (table.kind === 'value') {
      this.tableRevision = table.value.revision;
      this.offerTable(table.value.text);
    }
    const vms = await this.platform.read('vms', this.listRevision);
    if (vms.kind === 'value') {
      this.listRevision = vms.value.revision;
      this.members.updateList(JSON.parse(vms.value.text) as membershipTypes.IVmList);
    }
  }

  private offerTable(text: string): void {
    const offer = this.table.offer(text);
    if (offer.kind === 'invalid') {
      this.logger.error({ problems: offer.problems }, 'published table rejected');
    } else if (offer.kind === 'conflict') {
      this.logger.error({ tableVersion: offer.version }, 'published table has other content');
    }
  }

  private async gossip(): Promise<void> {
    this.heartbeat += 1;
    const { peers } = this.members;
    if (peers.length === 0) return;
    const address = peers[this.random.nextInteger(peers.length)] as string;
    const reply = await this.peers.exchange(address, this.ownMessage());
    if (reply.ok) await this.mergeMessage(address, reply.value);
  }

  private ownMessage(): peer.ExchangeRequest {
    const table = this.table.current;
    const tableVersion = table?.version ?? 0;
    return {
      sender: {
        address: this.options.peerAddress,
        incarnation: this.incarnation,
        heartbeat: this.heartbeat,
        failureDomain: this.options.failureDomain,
        leaving: this.leaving,
        tableVersion,
      },
      tableVersion,
      tableHash: table?.hash ?? '',
      members: [...this.members.records],
      facts: [],
    };
  }

  private async mergeMessage(address: string, message: peer.ExchangeRequest): Promise<void> {
    if (message.sender !== undefined) this.members.merge(message.sender);
    message.members.forEach((member) => this.members.merge(member));
    const ownVersion = this.table.current?.version ?? 0;
    if (message.tableVersion <= ownVersion || address === '') return;
    const fetched = await this.peers.fetchTable(address, { newerThan: ownVersion });
    if (!fetched.ok || fetched.value.compressedText.length === 0) return;
    const text = await gunzip(fetched.value.compressedText);
    this.offerTable(text.toString('utf8'));
  }
}
