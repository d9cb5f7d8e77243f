import * as confirmationModule from '../directory/Confirmation';
import * as relayAgent from '../directory/RelayAgent';
import * as heapClock from '../HeapClock';
import type * as membershipTypes from '../membership/Types';
import type * as types from '../Types';

const LATENCY_MS = 2;

/** Duration of a watch of the directory service, in milliseconds. */
const WATCH_MS = 750;

/** Interval at which a daemon that need not read checks whether it has to, in milliseconds. */
const ROLE_CHECK_INTERVAL_MS = 100;

const CHANGE_DEADLINE_MS = 2_000;

/** Time until a daemon that the directory service refuses reads again, in milliseconds. */
const BACKOFF_MS = 500;

/** Daemon of a relay fleet. */
export interface IRelayDaemon {
  readonly address: string;
  readonly failureDomain: string;
  readonly confirmation: confirmationModule.Confirmation;
  readonly agent: relayAgent.RelayAgent;
  revision: number;
  isUp: boolean;
  /** Whether the directory service refuses its reads. */
  isRefused: boolean;
  /** Whether it exchanges no messages with its peers. */
  isCut: boolean;
}

/**
 * Fleet of relay agents over a directory service in memory, on a virtual clock. Each daemon knows
 * each other one with the probability `knownShare`.
 */
export class RelayFleet {
  public readonly clock = new heapClock.HeapClock();

  public readonly daemons: IRelayDaemon[] = [];

  /** Reads of the directory service. */
  public reads = 0;

  /** Time that the transfer and the decoding of a change take, in milliseconds. */
  public transferMs = 0;

  /** Notices by sender. */
  public readonly notices = new Map<string, number>();

  /** Notices and replies that each daemon sent or received. */
  public readonly handled = new Map<string, number>();

  /** Revision of the directory service. */
  private publishedRevision = 1;

  /** Ends the watches in progress. */
  private pendingWatches: (() => void)[] = [];

  /** Members known to each daemon. */
  private readonly statusesOf = new Map<string, readonly membershipTypes.IMemberStatus[]>();

  private readonly byAddress = new Map<string, IRelayDaemon>();

  public constructor(size: number, random: types.IRandom, knownShare = 1) {
    for (let index = 0; index < size; index += 1) {
      const address = `10.0.${index >> 8}.${index & 255}:1`;
      this.add(address, `domain-${index % 5}`);
    }
    this.daemons.forEach((daemon) => {
      const known = this.daemons.filter((other) => other !== daemon && random.next() < knownShare);
      this.statusesOf.set(
        daemon.address,
        known.map((other) => RelayFleet.statusOf(other)),
      );
      this.clock.setTimer(random.next() * ROLE_CHECK_INTERVAL_MS, () => this.read(daemon));
      daemon.agent.start();
    });
  }

  /** Publishes a change, which ends the watches in progress. */
  public publish(revision: number): void {
    this.publishedRevision = revision;
    const pending = this.pendingWatches;
    this.pendingWatches = [];
    this.clock.setTimer(LATENCY_MS, () => pending.forEach((finish) => finish()));
  }

  /** Advances the time by `durationMs`. */
  public advance(durationMs: number): void {
    this.clock.runUntil(this.clock.monotonicMs() + durationMs);
  }

  private add(address: string, failureDomain: string): void {
    const confirmation = new confirmationModule.Confirmation(this.clock, () => CHANGE_DEADLINE_MS);
    const agent = new relayAgent.RelayAgent(
      { address, failureDomain },
      confirmation,
      this.fleetOf(address),
      this.clock,
    );
    const state = { revision: 0, isUp: true, isRefused: false, isCut: false };
    const daemon = { address, failureDomain, confirmation, agent, ...state };
    this.daemons.push(daemon);
    this.byAddress.set(address, daemon);
  }

  private fleetOf(own: string): relayAgent.IRelayFleet {
    const readStatuses = () => this.statusesOf.get(own) ?? [];
    return {
      get statuses() {
        return readStatuses();
      },
      expectsPeers: true,
      notify: (addresses) => addresses.forEach((address) => this.send(own, address)),
    };
  }

  /** Failed daemons stay listed as live, as until their heartbeats time out. */
  private static statusOf(daemon: IRelayDaemon): membershipTypes.IMemberStatus {
    const record = {
      ...{ address: daemon.address, failureDomain: daemon.failureDomain, incarnation: 1 },
      ...{ heartbeat: 1, leaving: false, tableVersion: daemon.revision },
    };
    return { record, state: 'live', silentMs: 0 };
  }

  private send(from: string, to: string): void {
    this.notices.set(from, (this.notices.get(from) ?? 0) + 1);
    this.deliver(from, to, () => this.deliver(to, from, () => undefined));
  }

  private deliver(from: string, to: string, onDelivered: () => void): void {
    const sender = this.byAddress.get(from);
    if (sender?.isUp !== true || sender.isCut) return;
    [from, to].forEach((address) =>
      this.handled.set(address, (this.handled.get(address) ?? 0) + 1),
    );
    const { ageMs } = sender.confirmation;
    const table = { version: sender.revision, hash: '', ageMs };
    const noticeInterest = sender.agent.noticeInterestIn(to);
    this.clock.setTimer(LATENCY_MS, () => {
      const receiver = this.byAddress.get(to);
      if (receiver?.isUp !== true || receiver.isCut) return;
      receiver.agent.handleReport({ address: from, table, noticeInterest, lacksMembers: false });
      this.adopt(receiver, table.version);
      if (receiver.revision <= table.version) receiver.confirmation.confirm(ageMs + LATENCY_MS);
      onDelivered();
    });
  }

  private adopt(daemon: IRelayDaemon, revision: number): void {
    if (revision <= daemon.revision) return;
    Object.assign(daemon, { revision });
    daemon.agent.notifySubscribers();
  }

  private read(daemon: IRelayDaemon): void {
    if (!daemon.isUp) return;
    if (daemon.agent.readRole === 'follower') {
      this.clock.setTimer(ROLE_CHECK_INTERVAL_MS, () => this.read(daemon));
      return;
    }
    this.reads += 1;
    if (daemon.isRefused) {
      this.clock.setTimer(BACKOFF_MS, () => this.read(daemon));
      return;
    }
    let isPending = true;
    const finish = () => {
      if (!isPending) return;
      isPending = false;
      const revision = this.publishedRevision;
      const transferMs = revision > daemon.revision ? this.transferMs : 0;
      this.clock.setTimer(transferMs, () => {
        this.adopt(daemon, revision);
        daemon.confirmation.confirm(transferMs);
        this.read(daemon);
      });
    };
    const isBehind = daemon.revision < this.publishedRevision;
    this.clock.setTimer(isBehind ? LATENCY_MS : WATCH_MS, finish);
    this.pendingWatches.push(finish);
  }
}
