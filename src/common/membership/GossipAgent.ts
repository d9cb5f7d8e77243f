import * as emitter from '../Emitter';
import type * as types from '../Types';
import * as factStore from './FactStore';
import * as gossipBudget from './GossipBudget';
import * as memberTable from './MemberTable';
import * as messageComposer from './MessageComposer';
import type * as membershipTypes from './Types';
import * as urgentFacts from './UrgentFacts';

/** Interval at which a daemon initiates exchanges. */
export const EXCHANGE_INTERVAL_MS = 500;
/** Number of peers to which a new urgent fact is sent immediately. */
const URGENT_FANOUT = 4;
/**
 * Probability that an exchange goes to a departed address. After a partition that outlasts the
 * removal timeout, each side has removed the other, and an outdated VM list may omit it too.
 */
const DEPARTED_RETRY_PROBABILITY = 0.1;
/**
 * Share of the exchanges that go to a peer in the same failure domain. Bytes between failure domains
 * cost more, and the other exchanges are enough to keep the domains in step.
 */
const NEAR_EXCHANGE_SHARE = 0.6;
/** Number of unknown heartbeats tolerated per message: they can be of members that just left. */
const MAX_UNKNOWN_HEARTBEATS = 2;

/** State of the sender's table, included in each message. */
export interface ITableState {
  readonly version: number;
  readonly hash: string;
  /** Milliseconds since the daemon last knew all changes, if it follows a directory. */
  readonly ageMs?: number | undefined;
}

/** Request or reply of an exchange between two daemons. */
export interface IExchangeMessage extends messageComposer.IMessageRecords {
  readonly sender: membershipTypes.IMember;
  readonly table: ITableState;
  /** Whether the message is pushed outside the regular exchanges. The reply carries no records. */
  readonly urgent: boolean;
  /** Whether the sender received heartbeats of members whose records it lacks. */
  readonly wantsMembers: boolean;
  /** Notices that the sender asks for; undefined if the message changes nothing about that. */
  readonly noticeInterest?: membershipTypes.NoticeInterest | undefined;
}

/** State that a peer reported in a message or a reply. */
export interface IPeerReport {
  readonly address: string;
  readonly table: ITableState;
  readonly noticeInterest: membershipTypes.NoticeInterest | undefined;
  /** Whether the message showed that this daemon lacks the records of some members. */
  readonly lacksMembers: boolean;
}

export interface IOutgoingMessage {
  readonly targets: readonly string[];
  readonly message: IExchangeMessage;
}

/** Identity of the agent, and its environment. */
export interface IAgentOptions {
  readonly address: string;
  readonly failureDomain: string;
  readonly incarnation: number;
  /** Returns the encoded size of a message. */
  readonly sizeOf: (message: IExchangeMessage) => number;
  readonly tableState: () => ITableState;
  /** Returns which notices this daemon wants of a peer. */
  readonly noticeInterestIn?: (address: string) => membershipTypes.NoticeInterest;
}

/** Chooses the target and content of gossip messages and merges received ones. Does no I/O. */
export class GossipAgent {
  public readonly members: memberTable.MemberTable;

  public readonly facts: factStore.FactStore;

  public readonly budget: gossipBudget.GossipBudget;

  private readonly urgentEmitter = new emitter.Emitter<void>();

  private readonly reportEmitter = new emitter.Emitter<IPeerReport>();

  /** Fires for each message and reply of a peer. */
  public readonly onReport: types.Event<IPeerReport> = this.reportEmitter.event;

  /** Fires when `takeUrgentMessage` has something to send. */
  public readonly onUrgent: types.Event<void> = this.urgentEmitter.event;

  private readonly composer: messageComposer.MessageComposer;

  private readonly urgentFacts: urgentFacts.UrgentFacts;

  /** Whether `onUrgent` has fired since the last urgent message. */
  private isUrgentAnnounced = false;

  private incarnation: number;

  private heartbeat = 0;

  private leaving = false;

  private wantsMembers = false;

  public constructor(
    private readonly options: IAgentOptions,
    clock: types.IClock,
    private readonly random: types.IRandom,
  ) {
    this.incarnation = options.incarnation;
    this.members = new memberTable.MemberTable(options.address, clock);
    this.facts = new factStore.FactStore(options.address, clock, options.incarnation);
    this.urgentFacts = new urgentFacts.UrgentFacts(this.facts);
    this.budget = new gossipBudget.GossipBudget(clock);
    this.composer = new messageComposer.MessageComposer(this.members, this.facts);
    this.facts.onAdded(({ key, isNews }) => {
      if (isNews) this.addUrgent(key);
    });
  }

  /** Member record of this daemon. */
  public get ownRecord(): membershipTypes.IMember {
    return {
      address: this.options.address,
      incarnation: this.incarnation,
      heartbeat: this.heartbeat,
      failureDomain: this.options.failureDomain,
      leaving: this.leaving,
      tableVersion: this.options.tableState().version,
    };
  }

  /** Message without records. */
  public get emptyMessage(): IExchangeMessage {
    return this.createMessage({ members: [], heartbeats: [], facts: [] }, false);
  }

  /** Announces in all further messages that this daemon is leaving. */
  public leave(): void {
    this.leaving = true;
    this.heartbeat += 1;
  }

  /** Starts a regular exchange. Returns undefined if no peer is known or the budget is spent. */
  public beginExchange(): IOutgoingMessage | undefined {
    this.heartbeat += 1;
    this.members.removeExpired();
    this.raiseIncarnation();
    if (!this.urgentFacts.isEmpty) this.announceUrgent();
    const target = this.chooseExchangeTarget();
    if (target === undefined) return undefined;
    if (this.budget.regularBytes < messageComposer.EMPTY_MESSAGE_BYTES) return undefined;
    return { targets: [target], message: this.composeExchange() };
  }

  /** Composes an exchange message and charges it to the budget. */
  public composeExchange(): IExchangeMessage {
    return this.chargeBudget(this.compose(false));
  }

  /** Composes a message with the pending urgent facts that the budget allows, for a few peers. */
  public takeUrgentMessage(): IOutgoingMessage | undefined {
    this.isUrgentAnnounced = false;
    const { availableBytes } = this.budget;
    const peers = this.choosePeers(URGENT_FANOUT);
    const selected = this.urgentFacts.select(availableBytes / Math.max(1, peers.length));
    const facts = selected.map(({ fact }) => fact);
    const message = this.createMessage({ members: [], heartbeats: [], facts }, true);
    const bytes = this.options.sizeOf(message);
    const targets = peers.slice(0, Math.max(0, Math.floor(availableBytes / bytes)));
    this.urgentFacts.remove(targets.length > 0 ? selected : []);
    const hasContent = facts.length > 0 || this.leaving;
    if (!hasContent || targets.length === 0) return undefined;
    this.budget.spend(bytes * targets.length);
    return { targets, message };
  }

  /**
   * Composes a message with only the state of this daemon for one peer. It is not charged to the
   * budget of the exchanges: notices to many followers would leave none for the daemon's own.
   */
  public composeNotice(target: string): IExchangeMessage {
    return { ...this.emptyMessageTo(target), urgent: true };
  }

  /** Merges the message of a peer and returns the reply. */
  public receive(message: IExchangeMessage): IExchangeMessage {
    const { address } = message.sender;
    if (message.urgent) {
      this.merge(message);
      return this.emptyMessageTo(address);
    }
    const reply = this.compose(message.wantsMembers);
    this.merge(message);
    return this.chargeBudget(reply);
  }

  private emptyMessageTo(target: string): IExchangeMessage {
    return { ...this.emptyMessage, noticeInterest: this.options.noticeInterestIn?.(target) };
  }

  /** Merges the records of a message or a reply. */
  public merge(message: IExchangeMessage): void {
    this.members.merge(message.sender);
    message.members.forEach((member) => this.members.merge(member));
    this.updateWantsMembers(message);
    message.heartbeats.forEach(({ id, heartbeat }) => this.members.mergeHeartbeat(id, heartbeat));
    message.facts.forEach((fact) => this.facts.merge(fact));
    const { sender, table, noticeInterest } = message;
    const { wantsMembers: lacksMembers } = this;
    this.reportEmitter.fire({ address: sender.address, table, noticeInterest, lacksMembers });
  }

  private updateWantsMembers({ heartbeats }: IExchangeMessage): void {
    if (heartbeats.length === 0) return;
    const unknown = heartbeats.filter(({ id }) => !this.members.hasHeartbeatId(id)).length;
    // This daemon's own heartbeat is sent back too, and has no record in the member table.
    this.wantsMembers = unknown > MAX_UNKNOWN_HEARTBEATS;
  }

  private addUrgent(key: string): void {
    this.urgentFacts.add(key);
    this.announceUrgent();
  }

  private announceUrgent(): void {
    if (this.isUrgentAnnounced) return;
    this.isUrgentAnnounced = true;
    this.urgentEmitter.fire();
  }

  /** Makes peers accept this process as the newer one if the clock was set back at a restart. */
  private raiseIncarnation(): void {
    const reported = this.members.reportedOwnIncarnation;
    if (reported > this.incarnation) this.incarnation = reported + 1;
  }

  private chooseExchangeTarget(): string | undefined {
    const { peers, departedAddresses } = this.members;
    const retriesDeparted = peers.length === 0 || this.random.next() < DEPARTED_RETRY_PROBABILITY;
    const candidates =
      retriesDeparted && departedAddresses.length > 0 ? departedAddresses : this.preferNear(peers);
    return candidates.length === 0
      ? undefined
      : candidates[this.random.nextInteger(candidates.length)];
  }

  /** Returns the peers in the same failure domain, or for a part of the exchanges all of them. */
  private preferNear(peers: readonly string[]): readonly string[] {
    if (this.random.next() >= NEAR_EXCHANGE_SHARE) return peers;
    const { failureDomain } = this.options;
    const near = peers.filter(
      (address) => this.members.recordOf(address)?.failureDomain === failureDomain,
    );
    return near.length > 0 ? near : peers;
  }

  /** Chooses up to `count` different peers. */
  public choosePeers(count: number): readonly string[] {
    const candidates = [...this.members.peers];
    const chosen: string[] = [];
    while (chosen.length < count && candidates.length > 0) {
      chosen.push(...candidates.splice(this.random.nextInteger(candidates.length), 1));
    }
    return chosen;
  }

  private compose(prefersMembers: boolean): IExchangeMessage {
    return this.createMessage(
      this.composer.compose(this.budget.regularBytes, prefersMembers),
      false,
    );
  }

  private createMessage(
    contents: messageComposer.IMessageRecords,
    urgent: boolean,
  ): IExchangeMessage {
    return {
      sender: this.ownRecord,
      table: this.options.tableState(),
      ...contents,
      urgent,
      wantsMembers: this.wantsMembers,
    };
  }

  private chargeBudget(message: IExchangeMessage): IExchangeMessage {
    this.budget.spend(this.options.sizeOf(message));
    return message;
  }
}
