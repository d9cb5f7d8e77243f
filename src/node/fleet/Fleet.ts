import type * as bunyan from 'bunyan';

import * as gossipAgent from '../../common/membership/GossipAgent';
import type * as factStore from '../../common/membership/FactStore';
import * as memberRecords from '../../common/membership/MemberRecords';
import type * as memberTable from '../../common/membership/MemberTable';
import type * as tableHolder from '../../common/table/TableHolder';
import type * as types from '../../common/Types';
import type * as peer from '../peer/generated/peer';
import * as configurationClient from '../configuration/ConfigurationClient';
import * as exchangeLoop from './ExchangeLoop';
import * as exchangeMessages from './ExchangeMessages';
import * as platformReader from './PlatformReader';
import * as readiness from './Readiness';
import * as tableDistribution from './TableDistribution';
import type * as fleetStatus from './FleetStatus';
import type * as fleetTypes from './Types';
import * as vmListParser from './VmListParser';

/** Fleet membership of this daemon: its table, members and facts, and their exchange with peers. */
export class Fleet implements types.IDisposable {
  public readonly table: tableHolder.TableHolder;

  public readonly members: memberTable.MemberTable;

  public readonly facts: factStore.FactStore;

  /** Fires once, when the daemon may take calls. */
  public readonly onReady: types.Event<void>;

  private readonly agent: gossipAgent.GossipAgent;

  private readonly distribution: tableDistribution.TableDistribution;

  private readonly loop: exchangeLoop.ExchangeLoop;

  private readonly platform: configurationClient.ConfigurationClient;

  private readonly reader: platformReader.PlatformReader;

  private readonly readiness: readiness.Readiness;

  /** @param valueSource Replaces the client of the configuration service in tests. */
  public constructor(
    options: fleetTypes.IFleetOptions,
    peers: fleetTypes.IPeerSender,
    private readonly logger: bunyan,
    clock: types.IClock,
    random: types.IRandom,
    valueSource?: platformReader.IValueSource,
  ) {
    this.distribution = new tableDistribution.TableDistribution(peers, logger, clock);
    this.table = this.distribution.table;
    this.agent = new gossipAgent.GossipAgent(
      {
        address: options.peerAddress,
        failureDomain: options.failureDomain,
        incarnation: memberRecords.newIncarnation(clock.wallTime(), random.next()),
        sizeOf: exchangeMessages.encodedSize,
        tableState: () => ({
          version: this.table.current?.version ?? 0,
          hash: this.table.current?.hash ?? '',
        }),
      },
      clock,
      random,
    );
    this.members = this.agent.members;
    this.facts = this.agent.facts;
    this.members.onChanged(({ kind, record }) => {
      if (kind === 'departed') peers.disconnect(record.address);
    });
    this.loop = new exchangeLoop.ExchangeLoop(this.agent, this.distribution, peers, logger, clock);
    this.platform = new configurationClient.ConfigurationClient(options.platformUrl);
    this.reader = new platformReader.PlatformReader(
      valueSource ?? this.platform,
      {
        table: (text) => this.distribution.offer(text, 'platform'),
        vms: (text) => this.updateVmList(text),
        maxDaemons: () => this.table.current?.maxDaemons,
      },
      logger,
      clock,
      random,
    );
    this.readiness = new readiness.Readiness(this.reader, this.table, this.loop, this.agent);
    this.onReady = this.readiness.onReady;
  }

  /** Whether a table is active, and the configuration service and up to 3 peers have been asked. */
  public get isReady(): boolean {
    return this.readiness.isReady;
  }

  /** Number that distinguishes this process from earlier ones at the same address. */
  public get incarnation(): number {
    return this.agent.ownRecord.incarnation;
  }

  /** State of the fleet, for operators. */
  public get status(): fleetStatus.IFleetStatus {
    const { current } = this.table;
    const refused = this.distribution.lastRefused;
    return {
      ready: this.isReady,
      tableVersion: current?.version ?? 0,
      tableHash: current?.hash ?? '',
      maxDaemons: current?.maxDaemons ?? 0,
      memberCount: this.members.count,
      members: this.members.statuses,
      departed: this.members.departedAddresses,
      facts: this.facts.facts,
      tableConflicts: this.distribution.conflictCount,
      rejectedTables: this.distribution.rejectedCount,
      lastRefusedTable: refused,
      reads: this.reader.counts,
      exchanges: this.loop.counts,
      bytesSent: this.agent.budget.totalSpentBytes,
      bytesReceived: this.loop.receivedBytes,
    };
  }

  /** Starts reading from the platform and exchanging with peers. `onReady` fires later. */
  public start(): void {
    this.reader.start();
    this.loop.start();
  }

  /** Announces to the peers that this daemon is about to stop. */
  public leave(): void {
    this.agent.leave();
    this.loop.pushUrgent();
  }

  /** Handles a pause of the process: marks all members as suspected and exchanges with a peer. */
  public onPaused(gapMs: number): void {
    this.logger.warn({ gapMs }, 'process was paused');
    this.members.suspectAll();
    this.loop.exchangeNow();
  }

  /** Replies to an exchange that a peer began. */
  public receiveExchange(request: peer.ExchangeRequest): peer.ExchangeReply {
    return this.loop.receive(request);
  }

  /** Replies with the active table if it is newer than that of the peer. */
  public replyTable(request: peer.FetchTableRequest): Promise<peer.FetchTableReply> {
    return this.distribution.reply(request);
  }

  public dispose(): void {
    this.readiness.dispose();
    this.reader.dispose();
    this.loop.dispose();
    this.platform.dispose();
  }

  private async updateVmList(text: string): Promise<void> {
    const list = vmListParser.parseVmList(text);
    if (list.ok) this.members.updateVmList(list.value);
    else this.logger.error({ problem: list.error }, 'VM list rejected');
  }
}
