import type * as gossipAgent from '../membership/GossipAgent';
import type * as membershipTypes from '../membership/Types';
import type * as types from '../Types';
import type * as confirmationModule from './Confirmation';
import * as relayTree from './RelayTree';
import * as subscribers from './Subscribers';
import * as subscriptions from './Subscriptions';
import type * as directoryTypes from './Types';

/** Interval at which the sources are chosen and asked for notices, in milliseconds. */
const SUBSCRIBE_INTERVAL_MS = 500;

/** Delay of a notice, in milliseconds, so that a change and its confirmation travel together. */
const NOTICE_DELAY_MS = 5;

/**
 * Further delay of a notice of a change to followers for which this daemon stands by, in
 * milliseconds. Those that prefer it are served first, and the others mostly know the change by then.
 */
const STANDBY_DELAY_MS = 200;

/** Advance of the confirmation that followers are notified of, as a share of its maximum age. */
const NOTICE_ADVANCE_SHARE = 0.3;

/**
 * Share of the maximum age of a confirmation after which the next one is late, so that this daemon
 * asks all its sources.
 */
const LATE_SHARE = 2 / 3;

/**
 * Shares of the maximum age of a confirmation by peers after which a daemon reads itself: first the
 * standbys, and if that helps nobody, all others. They are longer than that after which all sources are
 * asked, whose answers mostly make a read needless. What is left of the time within which a change must
 * be active is for reading a large configuration.
 */
const STANDBY_READ_SHARE = 0.7;
const FALLBACK_READ_SHARE = 0.85;

/**
 * Advance of the confirmation, in milliseconds, by which a daemon knows that another one reads. What comes back of its own reads is later by the time on the way only.
 */
const FOREIGN_ADVANCE_MS = 100;

/** Time for which more sources are followed after a confirmation was late, in milliseconds. */
const FAILURE_MS = 5_000;

/**
 * Time after the start, in milliseconds, in which the member list is incomplete, so that many
 * daemons take themselves for readers.
 */
const DISCOVERY_MS = 5_000;

/**
 * Share of the maximum age of a confirmation after which a possible reader reads again while the
 * member list is incomplete.
 */
const DISCOVERY_READ_SHARE = 0.5;

/** The fleet as a relay agent sees it. */
export interface IRelayFleet {
  readonly statuses: readonly membershipTypes.IMemberStatus[];
  /** Whether the settings name other daemons. */
  readonly expectsPeers: boolean;
  /** Sends the state of this daemon to each of the addresses. */
  notify(addresses: readonly string[]): void;
}

/**
 * Passes changes of the directory, and confirmations that it is up to date, from the few daemons
 * that read it to all others. Each daemon asks two sources of its choice for notices, so that the
 * daemons need not agree on the members of the fleet. Both notify it of changes, and the first one
 * also confirms that there are none. While confirmations are late, it asks more sources, and then
 * reads itself.
 */
export class RelayAgent implements types.IDisposable {
  private readonly tree: relayTree.RelayTree;

  private readonly subscriptions: subscriptions.Subscriptions;

  private readonly subscribers: subscribers.Subscribers;

  private readonly startedMs: number;

  private renewTimer: types.IDisposable | undefined;

  private noticeTimer: types.IDisposable | undefined;

  private standbyTimer: types.IDisposable | undefined;

  private lateTimer: types.IDisposable | undefined;

  /** Whether the pending notice is of a change, which all subscribers want. */
  private hasChanged = false;

  /** Monotonic time until which more sources are followed. */
  private failureEndMs = Number.NEGATIVE_INFINITY;

  /** Latest confirmation that stems from a read of a member before this daemon, as monotonic time. */
  private foreignTimeMs = Number.NEGATIVE_INFINITY;

  /** Confirmation that the subscribers were last notified of, as monotonic time. */
  private noticedTimeMs = Number.NEGATIVE_INFINITY;

  public constructor(
    own: relayTree.IRelayMember,
    private readonly confirmation: confirmationModule.Confirmation,
    private readonly fleet: IRelayFleet,
    private readonly clock: types.IClock,
  ) {
    this.startedMs = clock.monotonicMs();
    this.tree = new relayTree.RelayTree(own);
    this.subscriptions = new subscriptions.Subscriptions(clock);
    this.subscribers = new subscribers.Subscribers(clock);
    confirmation.onAdvanced(() => this.handleConfirmation());
  }

  /** Whether this daemon has to read the directory service. */
  public get readRole(): directoryTypes.ReadRole {
    const { maxAgeMs, remainingMs } = this.confirmation;
    if (!this.tree.isReader) return this.roleOfFollower;
    if (!this.isDiscovering) return 'reader';
    return remainingMs < DISCOVERY_READ_SHARE * maxAgeMs ? 'reader' : 'follower';
  }

  /**
   * Whether a change is likely to come from an own read before it comes from a peer: also at the start,
   * when nothing has been confirmed yet, but not once own reads seem to fail.
   */
  public get expectsOwnRead(): boolean {
    return this.readRole !== 'follower' && !(this.isSettled && this.isLate);
  }

  /** Chooses sources now and periodically. */
  public start(): void {
    const live = this.fleet.statuses.filter(({ state }) => state === 'live');
    this.tree.update(live.map(({ record }) => record));
    this.askSources();
    this.renewTimer = this.clock.setTimer(SUBSCRIBE_INTERVAL_MS, () => this.start());
  }

  /** Returns which notices this daemon wants of the peer. */
  public noticeInterestIn(address: string): membershipTypes.NoticeInterest {
    if (!this.subscriptions.follows(address)) return 'none';
    const isWanted = this.subscriptions.isFirst(address) || this.isLate || this.hasFailed;
    return isWanted ? 'all' : 'changes';
  }

  /** Processes the state that a peer reported. */
  public handleReport({ address, table, noticeInterest }: gossipAgent.IPeerReport): void {
    if (noticeInterest !== undefined) this.subscribers.update(address, noticeInterest);
    if (table.ageMs !== undefined) this.recordForeignRead(address, table.ageMs);
    const isCurrent = table.ageMs !== undefined && table.ageMs < this.confirmation.maxAgeMs;
    // A source without a current directory is passed over like one that does not answer.
    if (isCurrent) this.subscriptions.recordMessage(address);
  }

  /** Notifies the subscribers of a change of the directory. */
  public notifySubscribers(): void {
    this.hasChanged = true;
    this.scheduleNotice();
  }

  public dispose(): void {
    this.renewTimer?.dispose();
    this.noticeTimer?.dispose();
    this.standbyTimer?.dispose();
    this.lateTimer?.dispose();
  }

  private get isLate(): boolean {
    return this.confirmation.ageMs >= LATE_SHARE * this.confirmation.maxAgeMs;
  }

  /** Whether the confirmation is late, or was a short time ago, although readers were known. */
  private get hasFailed(): boolean {
    return this.clock.monotonicMs() < this.failureEndMs;
  }

  /** Whether the readers have been known for long enough to confirm the directory. */
  private get isSettled(): boolean {
    return this.elapsedMs >= DISCOVERY_MS + this.confirmation.maxAgeMs;
  }

  /**
   * Role of a daemon that is not a reader. Once it reads, it goes on until a member before it does, so
   * that no further change waits until the confirmation is late again.
   */
  private get roleOfFollower(): directoryTypes.ReadRole {
    const { maxAgeMs, remainingMs } = this.confirmation;
    if (remainingMs === 0) return 'fallback';
    if (!this.isSettled) return 'follower';
    const sinceMs = this.clock.monotonicMs() - this.foreignTimeMs;
    if (this.tree.isStandby && sinceMs >= STANDBY_READ_SHARE * maxAgeMs) return 'reader';
    return sinceMs >= FALLBACK_READ_SHARE * maxAgeMs ? 'fallback' : 'follower';
  }

  private recordForeignRead(address: string, ageMs: number): void {
    const timeMs = this.clock.monotonicMs() - ageMs;
    const isForeign = timeMs - this.confirmation.timeMs >= FOREIGN_ADVANCE_MS;
    if (isForeign && this.tree.precedes(address)) this.foreignTimeMs = timeMs;
  }

  private get isDiscovering(): boolean {
    return this.fleet.expectsPeers && this.elapsedMs < DISCOVERY_MS;
  }

  private get elapsedMs(): number {
    return this.clock.monotonicMs() - this.startedMs;
  }

  private askSources(): void {
    const { isLate, isSettled } = this;
    if (isLate && isSettled) this.failureEndMs = this.clock.monotonicMs() + FAILURE_MS;
    const { hasFailed } = this;
    const { sources, standbySources } = this.tree;
    const preferred = hasFailed ? [...sources, ...standbySources] : sources;
    this.fleet.notify(this.subscriptions.takeDue(preferred, isLate, hasFailed));
  }

  private scheduleNotice(): void {
    this.noticeTimer ??= this.clock.setTimer(NOTICE_DELAY_MS, () => {
      this.noticeTimer = undefined;
      if (this.hasChanged) this.scheduleStandbyNotice();
      this.hasChanged = false;
      this.noticedTimeMs = this.confirmation.timeMs;
      this.fleet.notify(this.subscribers.confirmedAddresses);
    });
  }

  private scheduleStandbyNotice(): void {
    this.standbyTimer ??= this.clock.setTimer(STANDBY_DELAY_MS, () => {
      this.standbyTimer = undefined;
      const { addresses, confirmedAddresses } = this.subscribers;
      this.fleet.notify(addresses.filter((address) => !confirmedAddresses.includes(address)));
    });
  }

  private handleConfirmation(): void {
    const { timeMs, maxAgeMs, ageMs } = this.confirmation;
    if (timeMs - this.noticedTimeMs >= NOTICE_ADVANCE_SHARE * maxAgeMs) this.scheduleNotice();
    this.lateTimer?.dispose();
    this.lateTimer = this.clock.setTimer(Math.max(0, LATE_SHARE * maxAgeMs - ageMs), () =>
      this.askSources(),
    );
  }
}
