import type * as types from '../common/Types';
import type * as routedSettings from './settings/RoutedSettings';

/**
 * Number of daemons assumed to share the limits of servers and of the fleet before the peers are
 * known. Shares that are briefly too small cost little; shares that are too large exceed a limit.
 */
const ASSUMED_DAEMON_COUNT = 24;

/** Time after the start until the count of peers is reliable, in milliseconds. */
const MEMBERSHIP_SETTLE_MS = 3_000;

/** Relative change of the number of daemons above which the shares of servers are recomputed. */
const REDISTRIBUTION_THRESHOLD = 0.15;

/** Factor on the member count that covers daemons that joined and are not counted yet. */
const DAEMON_COUNT_MARGIN = 1.1;

/** Interval at which the shares are adjusted to the number of daemons, in milliseconds. */
const UPDATE_INTERVAL_MS = 1_000;

/** Fraction of the fleet's retry allowance that is used; the rest covers uncounted daemons. */
const ALLOWANCE_UTILIZATION = 0.9;

/** Fraction of a daemon's share that is available as a burst; the rest refills over the window. */
const BURST_FRACTION = 0.8;

/** Permits available to each daemon until the number of daemons is known. */
const INITIAL_BURST = 1;

/** Limits that are divided among the daemons. */
export interface ISharedLimits {
  /** Number of daemons that the current server shares assume; undefined before the first table. */
  readonly appliedDaemonCount: number | undefined;
  /** Sets whether the known members are those that share the limits of servers. */
  divideServerLimits(areMembersKnown: boolean): void;
  setRetryReserve(maxTokens: number, tokensPerSecond: number): void;
  /** Recomputes the shares of server connections and health checks. */
  redistributeServers(): void;
}

/** Divides the fleet-wide limits by the number of daemons. */
export class FleetShares implements types.IDisposable {
  private timer: types.IDisposable | undefined;

  private readonly startedMs: number;

  /**
   * Position in [0, 1) that decides whether this daemon holds a permit where a share is below one.
   * It advances by the share in each window, so that each daemon holds one in turn.
   */
  private turn: number;

  private turnStartedMs: number;

  /** @param countMembers Number of known members, this daemon included; 0 before it joins. */
  public constructor(
    private readonly readOptions: () => Pick<
      routedSettings.RoutedSettings,
      'retryAllowance' | 'retryWindow'
    >,
    private readonly countMembers: () => number,
    private readonly limits: ISharedLimits,
    private readonly clock: types.IClock,
    random: types.IRandom,
  ) {
    this.startedMs = clock.monotonicMs();
    this.turn = random.next();
    this.turnStartedMs = this.startedMs;
  }

  /** Estimated upper bound on the number of running daemons. */
  public get daemonCount(): number {
    const { isSettled } = this;
    const counted = Math.ceil(DAEMON_COUNT_MARGIN * this.countMembers());
    return isSettled && counted > 1 ? counted : Math.max(ASSUMED_DAEMON_COUNT, counted);
  }

  /** Divides the limits now and periodically. */
  public start(): void {
    const { daemonCount, limits } = this;
    this.divideRetryAllowance();
    limits.divideServerLimits(this.isSettled && this.countMembers() > 1);
    const appliedCount = limits.appliedDaemonCount ?? daemonCount;
    if (Math.abs(daemonCount - appliedCount) > REDISTRIBUTION_THRESHOLD * appliedCount)
      limits.redistributeServers();
    this.timer = this.clock.setTimer(UPDATE_INTERVAL_MS, () => this.start());
  }

  public dispose(): void {
    this.timer?.dispose();
  }

  private get isSettled(): boolean {
    return this.clock.monotonicMs() - this.startedMs > MEMBERSHIP_SETTLE_MS;
  }

  private divideRetryAllowance(): void {
    if (!this.isSettled) {
      this.limits.setRetryReserve(INITIAL_BURST, 0);
      return;
    }
    const { retryAllowance, retryWindow } = this.readOptions();
    const share = (ALLOWANCE_UTILIZATION * retryAllowance) / this.daemonCount;
    const burst = this.burstOf(share, retryWindow);
    const rest = burst === 0 ? 0 : Math.max(0, share - burst);
    this.limits.setRetryReserve(burst, (1_000 * rest) / retryWindow);
  }

  /**
   * Returns the permits that this daemon may accumulate. Less than one permit could never be used,
   * so where the share is below one, that fraction of the daemons holds a whole permit, and others
   * hold it in the next window.
   */
  private burstOf(share: number, windowMs: number): number {
    if (BURST_FRACTION * share >= 1) return BURST_FRACTION * share;
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.turnStartedMs >= windowMs) {
      this.turn = (this.turn + share) % 1;
      this.turnStartedMs = nowMs;
    }
    return this.turn < share ? 1 : 0;
  }
}
