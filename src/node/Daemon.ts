import * as util from 'node:util';
import * as zlib from 'node:zlib';

import type * as bunyan from 'bunyan';

import * as callCoordinator from '../common/call/CallCoordinator';
import * as serviceBalancer from '../common/call/ServiceBalancer';
import * as memberTable from '../common/membership/MemberTable';
import type * as membershipTypes from '../common/membership/Types';
import * as leastInFlightPolicy from '../common/policy/LeastInFlightPolicy';
import * as requestSuspicion from '../common/suspicion/RequestSuspicion';
import * as tableHolder from '../common/table/TableHolder';
import type * as tableTypes from '../common/table/Types';
import type * as types from '../common/Types';
import * as httpTransport from './dispatch/HttpTransport';
import type * as peer from './peer/generated/peer';
import * as peerClient from './peer/PeerClient';
import * as peerServer from './peer/PeerServer';
import * as platformClient from './platform/PlatformClient';
import * as callerServer from './server/CallerServer';
import type * as settings from './settings/Settings';

const GOSSIP_INTERVAL_MS = 500;
const READ_INTERVAL_MS = 1_000;

const gzip = util.promisify(zlib.gzip);
const gunzip = util.promisify(zlib.gunzip);

function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** One process of the fleet, composed of its services. */
export class Daemon {
  private readonly table = new tableHolder.TableHolder();

  private readonly balancers = new Map<string, serviceBalancer.ServiceBalancer>();

  private readonly members: memberTable.MemberTable;

  private readonly transport: httpTransport.HttpTransport;

  private readonly suspicion: requestSuspicion.RequestSuspicion;

  private readonly callers: callerServer.CallerServer;

  private readonly peers: peerServer.PeerServer;

  private readonly peerClient = new peerClient.PeerClient();

  private readonly platform: platformClient.PlatformClient;

  private readonly incarnation: number;

  private heartbeat = 0;

  private tableRevision = 0;

  private listRevision = 0;

  private stopping = false;

  private readonly timers = new Set<types.IDisposable>();

  public constructor(
    private readonly options: settings.Settings,
    private readonly logger: bunyan,
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
  ) {
    this.suspicion = new requestSuspicion.RequestSuspicion(clock);
    this.incarnation = random.nextInteger(2 ** 48);
    this.members = new memberTable.MemberTable(options.peerAddress);
    this.platform = new platformClient.PlatformClient(options.platformUrl);
    this.transport = new httpTransport.HttpTransport(clock);
    const { table, balancers } = this;
    this.callers = new callerServer.CallerServer(
      {
        get table() {
          return table.current;
        },
        balancerOf: (service) => balancers.get(service),
      },
      new callCoordinator.CallCoordinator(this.transport, this.suspicion, clock),
      clock,
    );
    this.peers = new peerServer.PeerServer({
      exchange: (request) => this.receiveExchange(request),
      fetchTable: (request) => this.replyTable(request),
    });
    this.table.onAccepted((accepted) => this.applyTable(accepted));
  }

  public async start(): Promise<void> {
    await this.peers.listen(this.options.peerAddress);
    await this.readPlatform();
    const { host, port } = splitAddress(this.options.callerAddress);
    await this.callers.listen(host, port);
    this.repeat(READ_INTERVAL_MS, () => this.readPlatform());
    this.repeat(GOSSIP_INTERVAL_MS, () => this.gossip());
    this.logger.info({ tableVersion: this.table.current?.version ?? 0 }, 'daemon started');
  }

  /** Finishes the calls in flight, then releases everything. */
  public async stop(): Promise<void> {
    this.stopping = true;
    await this.callers.close();
    this.timers.forEach((timer) => timer.dispose());
    this.peers.dispose();
    this.peerClient.dispose();
    this.platform.dispose();
    this.transport.dispose();
  }

  private repeat(intervalMs: number, action: () => Promise<void>): void {
    if (this.stopping) return;
    const delayMs = intervalMs * (0.9 + 0.2 * this.random.next());
    const timer = this.clock.setTimer(delayMs, () => {
      this.timers.delete(timer);
      action().then(
        () => this.repeat(intervalMs, action),
        (error: Error) => {
          this.logger.error({ err: error }, 'periodic task failed');
          this.repeat(intervalMs, action);
        },
      );
    });
    this.timers.add(timer);
  }

  private applyTable(table: tableTypes.ITable): void {
    [...this.balancers.keys()]
      .filter((name) => !table.services.has(name))
      .forEach((name) => this.balancers.delete(name));
    table.services.forEach((service, name) => {
      const balancer =
        this.balancers.get(name) ??
        new serviceBalancer.ServiceBalancer(
          new leastInFlightPolicy.LeastInFlightPolicy(this.random),
          this.clock,
        );
      balancer.update(table, service);
      this.balancers.set(name, balancer);
    });
    this.logger.info({ tableVersion: table.version }, 'table in force');
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
    const reply = await this.peerClient.exchange(address, this.ownMessage());
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
        leaving: this.stopping,
        tableVersion,
      },
      tableVersion,
      tableHash: table?.hash ?? '',
      members: [...this.members.records],
      facts: [],
    };
  }

  private receiveExchange(request: peer.ExchangeRequest): peer.ExchangeReply {
    const reply = this.ownMessage();
    this.mergeMessage(request.sender?.address ?? '', request).catch((error: Error) =>
      this.logger.warn({ err: error }, 'table of a peer could not be fetched'),
    );
    return reply;
  }

  private async mergeMessage(address: string, message: peer.ExchangeRequest): Promise<void> {
    if (message.sender !== undefined) this.members.merge(message.sender);
    message.members.forEach((member) => this.members.merge(member));
    const ownVersion = this.table.current?.version ?? 0;
    if (message.tableVersion <= ownVersion || address === '') return;
    const fetched = await this.peerClient.fetchTable(address, { newerThan: ownVersion });
    if (!fetched.ok || fetched.value.compressedText.length === 0) return;
    const text = await gunzip(fetched.value.compressedText);
    this.offerTable(text.toString('utf8'));
  }

  private async replyTable(request: peer.FetchTableRequest): Promise<peer.FetchTableReply> {
    const table = this.table.current;
    if (table === undefined || table.version <= request.newerThan) {
      return { version: 0, compressedText: Buffer.alloc(0) };
    }
    return { version: table.version, compressedText: await gzip(table.text) };
  }
}
