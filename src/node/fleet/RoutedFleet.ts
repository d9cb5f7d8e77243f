import type * as net from 'node:net';

import type * as bunyan from 'bunyan';

import type * as confirmationModule from '../../common/directory/Confirmation';
import type * as directoryModule from '../../common/directory/Directory';
import * as relayAgent from '../../common/directory/RelayAgent';
import type * as directoryTypes from '../../common/directory/Types';
import type * as factStore from '../../common/membership/FactStore';
import * as gossipAgent from '../../common/membership/GossipAgent';
import * as memberRecords from '../../common/membership/MemberRecords';
import type * as memberTable from '../../common/membership/MemberTable';
import type * as reachTypes from '../../common/reach/Types';
import type * as types from '../../common/Types';
import * as directorySync from '../directory/DirectorySync';
import type * as forwardTypes from '../forwarding/Types';
import type * as peer from '../peer/generated/peer';
import * as peerClient from '../peer/PeerClient';
import * as peerServer from '../peer/PeerServer';
import * as exchangeLoop from './ExchangeLoop';
import * as exchangeMessages from './ExchangeMessages';
import * as memberSync from './MemberSync';

/**
 * Time to send the replies to forwarded calls at a stop, in milliseconds. A silent peer keeps its
 * connection open, so that the end of all connections cannot be awaited.
 */
const REPLY_FLUSH_MS = 300;

/** Identity of a daemon and its seed peers. Addresses are IP address and port. */
export interface IRoutedFleetOptions {
  readonly peerAddress: string;
  readonly failureDomain: string;
  /** Peers that are contacted first. They may be outdated or down. */
  readonly seedPeers: readonly string[];
}

/** Fleet membership of a daemon that discovers its peers through seed peers. */
export class RoutedFleet implements types.IDisposable {
  public readonly members: memberTable.MemberTable;

  public readonly facts: factStore.FactStore;

  private readonly agent: gossipAgent.GossipAgent;

  private readonly loop: exchangeLoop.ExchangeLoop;

  private readonly relay: relayAgent.RelayAgent;

  private readonly client = new peerClient.PeerClient();

  private readonly server: peerServer.PeerServer;

  private flushTimer: types.IDisposable | undefined;

  public constructor(
    private readonly options: IRoutedFleetOptions,
    directory: directoryModule.Directory,
    private readonly confirmation: confirmationModule.Confirmation,
    logger: bunyan,
    private readonly clock: types.IClock,
    random: types.IRandom,
    /** Runs the calls that peers forward. */
    calls?: forwardTypes.IForwardHandler,
  ) {
    this.agent = new gossipAgent.GossipAgent(
      {
        address: options.peerAddress,
        failureDomain: options.failureDomain,
        incarnation: memberRecords.newIncarnation(clock.wallTime(), random.next()),
        sizeOf: exchangeMessages.encodedSize,
        tableState: () => ({
          version: directory.revision,
          hash: '',
          ageMs: Number.isFinite(confirmation.ageMs) ? Math.ceil(confirmation.ageMs) : undefined,
        }),
        noticeInterestIn: (address) => this.relay.noticeInterestIn(address),
      },
      clock,
      random,
    );
    this.members = this.agent.members;
    this.relay = this.makeRelay();
    this.facts = this.agent.facts;
    const sync = new directorySync.DirectorySync(
      directory,
      confirmation,
      () => this.relay.expectsOwnRead,
      this.client,
      logger,
      clock,
    );
    this.loop = new exchangeLoop.ExchangeLoop(this.agent, sync, this.client, logger, clock);
    const members = new memberSync.MemberSync(this.agent, this.client, logger, clock);
    const handler = {
      exchange: (request: peer.ExchangeRequest) => this.loop.receive(request),
      fetchTable: (request: peer.FetchTableRequest) => sync.reply(request),
      fetchMembers: () => members.reply(),
    };
    this.server = new peerServer.PeerServer(handler, undefined, calls);
    this.agent.onReport((report) => {
      this.relay.handleReport(report);
      members
        .syncFrom(report)
        .catch((error: Error) => logger.warn({ err: error }, 'failed to sync members'));
    });
    this.members.onChanged(({ kind, record }) => {
      if (kind === 'departed') this.client.disconnect(record.address);
    });
    directory.onChanged(() => this.relay.notifySubscribers());
    this.setSeedPeers(options.seedPeers);
  }

  /** Serves a connection of a peer. */
  public receive(socket: net.Socket): void {
    this.server.receive(socket);
  }

  /** Starts exchanging with peers. */
  public start(): void {
    this.loop.start();
    this.loop.exchangeNow();
    this.relay.start();
  }

  /** Whether this daemon has to read the directory service. */
  public get readRole(): directoryTypes.ReadRole {
    return this.relay.readRole;
  }

  /**
   * Peer addresses of the daemons that have not announced their stop, this one included. A daemon
   * that is only silent counts, since it may go on sending requests.
   */
  public get runningDaemons(): readonly string[] {
    const others = this.members.statuses.filter(({ state }) => state !== 'leaving');
    return [this.options.peerAddress, ...others.map(({ record }) => record.address)];
  }

  /** Peers that run and are not stopping. */
  public get livePeers(): readonly reachTypes.IHelper[] {
    return this.members.statuses
      .filter(({ state }) => state === 'live')
      .map(({ record: { address, failureDomain } }) => ({ address, failureDomain }));
  }

  /** Sends forwarded calls to peers. */
  public get forwardPeers(): forwardTypes.IForwardPeers {
    return this.client;
  }

  /** Sets the peers that are contacted even before they are known as members. */
  public setSeedPeers(seedPeers: readonly string[]): void {
    this.members.updateVmList({
      revision: 0,
      vms: seedPeers.map((address) => ({
        address,
        role: 'daemon',
        failureDomain: '',
        state: 'live',
      })),
    });
  }

  /** Announces to the peers that this daemon is about to stop. */
  public leave(): void {
    this.agent.leave();
    this.loop.pushUrgent();
  }

  /** Takes no further messages, and sends the replies to the earlier ones. */
  public finishReplies(): void {
    this.flushTimer = this.clock.setTimer(REPLY_FLUSH_MS, () => this.endFlush());
    const end = () => this.endFlush();
    this.server.close().then(end, end);
  }

  /** Whether replies may still wait to be sent after `finishReplies`. */
  public get hasUnsentReplies(): boolean {
    return this.flushTimer !== undefined;
  }

  /** Handles a pause of the process: marks all members as suspected and exchanges with a peer. */
  public onPaused(): void {
    this.members.suspectAll();
    this.loop.exchangeNow();
  }

  public dispose(): void {
    this.relay.dispose();
    this.loop.dispose();
    this.server.dispose();
    this.client.dispose();
  }

  private makeRelay(): relayAgent.RelayAgent {
    const { peerAddress: address, failureDomain } = this.options;
    const { members } = this;
    const fleet: relayAgent.IRelayFleet = {
      get expectsPeers() {
        return members.peers.length > 0;
      },
      get statuses() {
        return members.statuses;
      },
      notify: (addresses) => this.loop.notify(addresses),
    };
    const own = { address, failureDomain };
    return new relayAgent.RelayAgent(own, this.confirmation, fleet, this.clock);
  }

  private endFlush(): void {
    this.flushTimer?.dispose();
    this.flushTimer = undefined;
  }
}
