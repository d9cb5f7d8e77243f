import * as emitter from '../Emitter';
import type * as types from '../Types';
import * as factStore from './FactStore';
import * as gossipBudget from './GossipBudget';
import * as memberTable from './MemberTable';
import * as messageComposer from './MessageComposer';
import type * as membershipTypes from './Types';

/** Interval of the exchanges that a daemon begins. */
export const EXCHANGE_INTERVAL_MS = 500;
/** Peers that get a new urgent fact at once. */
const URGENT_PEERS = 4;
/**
 * Share of exchanges tried with a departed address. After a partition longer than the removal
 * time each side has removed the other, and a stale VM list may name neither.
 */
const DEPARTED_SHARE = 0.1;
/** Heartbeats without a record that are no sign of missing records: members that just left. */
const TOLERATED_UNKNOWN = 2;

/** What a daemon says of its table in each message. */
export interface ITableState {
  readonly version: number;
  readonly hash: string;
  /** Time since the daemon knew all changes, in milliseconds, if it follows a directory. */
  readonly ageMs?: number | undefined;
}

/** A message between two daemons, in either direction. */
export interface IExchangeMessage extends messageComposer.IContents {
  readonly sender: membershipTypes.IMember;
  readonly table: ITableState;
  /** Carries new facts outside the regular interval. The reply carries no records. */
  readonly urgent: boolean;
  /** Whether the sender lacks the records of heartbeats that it received. */
  readonly wantsMembers: boolean;
}

export interface IOutgoing {
  readonly targets: readonly string[];
  readonly message: IExchangeMessage;
}

/** Where and as whom the agent speaks. */
export interface IAgentOptions {
  readonly address: string;
  readonly failureDomain: string;
  readonly incarnation: number;
  /** Returns the bytes that a message takes when sent. */
  readonly sizeOf: (message: IExchangeMessage) => number;
  readonly tableState: () => ITableState;
}

/** Decides what a daemon sends to which peer, and takes in what peers send. Sends nothing. */
export class GossipAgent {
  public readonly members: memberTable.MemberTable;

  public readonly facts: factStore.FactStore;

  public readonly budget: gossipBudget.GossipBudget;

  private readonly urgentEmitter = new emitter.Emitter<void>();

  /** Fires when `takeUrgent` has something to send. */
  public readonly onUrgent: types.Event<void> = this.urgentEmitter.event;

  private readonly composer: messageComposer.MessageComposer;

  private readonly urgentKeys = new Set<string>();

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
    this.budget = new gossipBudget.GossipBudget(clock);
    this.composer = new messageComposer.MessageComposer(this.members, this.facts);
    this.facts.onAdded(({ key, isNews }) => {
      if (isNews) this.addUrgent(key);
    });
  }

  /** The record that this daemon sends of itself. */
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

  /** A message without records. */
  public get emptyMessage(): IExchangeMessage {
    return this.message({ members: [], heartbeats: [], facts: [] }, false);
  }

  /** Announces in all further messages that this daemon is about to stop. */
  public leave(): void {
    this.leaving = true;
    this.heartbeat += 1;
  }

  /** Begins the exchange of one interval. Undefined if no peer is known or the budget is spent. */
  public takeExchange(): IOutgoing | undefined {
    this.heartbeat += 1;
    this.members.advance();
    this.outrankEarlierProcess();
    const target = this.choosePeer();
    if (target === undefined) return undefined;
    if (this.budget.regularBytes < messageComposer.BASE_BYTES) return undefined;
    return { targets: [target], message: this.takeMessage() };
  }

  /** Composes a message for a peer that is asked outside the interval. */
  public takeMessage(): IExchangeMessage {
    return this.spend(this.compose(false));
  }

  /** Takes the new urgent facts, to be sent to a few peers at once. */
  public takeUrgent(): IOutgoing | undefined {
    const facts = [...this.urgentKeys]
      .map((key) => this.facts.get(key))
      .filter((fact) => fact !== undefined);
    this.urgentKeys.clear();
    const message = this.message({ members: [], heartbeats: [], facts }, true);
    const targets = this.chooseSome(URGENT_PEERS);
    const bytes = this.options.sizeOf(message) * targets.length;
    const isAllowed = facts.length > 0 || this.leaving;
    // A fact that the budget holds back goes out with the next regular exchange.
    if (!isAllowed || targets.length === 0 || bytes > this.budget.availableBytes) return undefined;
    this.budget.spend(bytes);
    return { targets, message };
  }

  /** Composes a message that only tells the state of this daemon, for `targets` peers. */
  public takeNotice(targets: number): IExchangeMessage {
    const notice = { ...this.emptyMessage, urgent: true };
    this.budget.spend(this.options.sizeOf(notice) * targets);
    return notice;
  }

  /** Takes in the message of a peer and returns the reply. */
  public receive(message: IExchangeMessage): IExchangeMessage {
    const reply = message.urgent ? this.emptyMessage : this.compose(message.wantsMembers);
    this.merge(message);
    return this.spend(reply);
  }

  /** Takes in the records of a message or a reply. */
  public merge(message: IExchangeMessage): void {
    this.members.merge(message.sender);
    message.members.forEach((member) => this.members.merge(member));
    this.countUnknown(message);
    message.heartbeats.forEach(({ id, heartbeat }) => this.members.mergeHeartbeat(id, heartbeat));
    message.facts.forEach((fact) => this.facts.merge(fact));
  }

  private countUnknown({ heartbeats }: IExchangeMessage): void {
    if (heartbeats.length === 0) return;
    const unknown = heartbeats.filter(({ id }) => !this.members.hasIdentifier(id)).length;
    // The own heartbeat of this daemon comes back too, and has no record here.
    this.wantsMembers = unknown > TOLERATED_UNKNOWN;
  }

  private addUrgent(key: string): void {
    this.urgentKeys.add(key);
    if (this.urgentKeys.size === 1) this.urgentEmitter.fire();
  }

  /** A clock that was set back at a restart must not make this process look like an old one. */
  private outrankEarlierProcess(): void {
    const reported = this.members.reportedOwnIncarnation;
    if (reported > this.incarnation) this.incarnation = reported + 1;
  }

  private choosePeer(): string | undefined {
    const { peers, departedAddresses } = this.members;
    const retriesDeparted = peers.length === 0 || this.random.next() < DEPARTED_SHARE;
    const pool = retriesDeparted && departedAddresses.length > 0 ? departedAddresses : peers;
    return pool.length === 0 ? undefined : pool[this.random.nextInteger(pool.length)];
  }

  /** Chooses up to `count` different peers. */
  public chooseSome(count: number): readonly string[] {
    const pool = [...this.members.peers];
    const chosen: string[] = [];
    while (chosen.length < count && pool.length > 0) {
      chosen.push(...pool.splice(this.random.nextInteger(pool.length), 1));
    }
    return chosen;
  }

  private compose(prefersMembers: boolean): IExchangeMessage {
    return this.message(this.composer.compose(this.budget.regularBytes, prefersMembers), false);
  }

  private message(contents: messageComposer.IContents, urgent: boolean): IExchangeMessage {
    return {
      sender: this.ownRecord,
      table: this.options.tableState(),
      ...contents,
      urgent,
      wantsMembers: this.wantsMembers,
    };
  }

  private spend(message: IExchangeMessage): IExchangeMessage {
    this.budget.spend(this.options.sizeOf(message));
    return message;
  }
}
