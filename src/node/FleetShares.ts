import type * as types from '../common/Types';
import type * as routedSettings from './settings/RoutedSettings';

/**
 * Daemons that are assumed to share what a server and the fleet allow, before the peers are known.
 * Shares that are too small for a moment cost little, shares that are too large break a limit.
 */
const ASSUMED_DAEMON_COUNT = 24;

/** Time after the start in which the count of peers is not yet complete, in milliseconds. */
const MEMBERSHIP_SETTLE_MS = 3_000;

/** Change of the number of daemons from which on shares of servers are divided anew. */
const REDISTRIBUTION_THRESHOLD = 0.15;

/** Room for daemons that joined and are not counted yet. */
const DAEMON_COUNT_MARGIN = 1.1;

/** Interval of the adjustment to the number of daemons, in milliseconds. */
const UPDATE_INTERVAL_MS = 1_000;

/** Share of the fleet's allowance of retries that is spent; the rest covers daemons not counted. */
const ALLOWANCE_UTILIZATION = 0.9;

/** Part of a daemon's share that it may save up. The other part comes evenly over the window. */
const BURST_FRACTION = 0.8;

/** What is divided among the daemons. */
export interface ISharedLimits {
  /** Daemons among which the servers are divided now; undefined before the first table. */
  readonly appliedDaemonCount: number | undefined;
  setRetryReserve(maxSaved: number, perSecond: number): void;
  /** Divides connections to servers and questions to them anew. */
  redistributeServers(): void;
}

/** Divides the limits of the whole fleet by the number of its daemons. */
export class FleetShares implements types.IDisposable {
  private timer: types.IDisposable | undefined;

  private readonly startedMs: number;

  /** @param countMembers Returns the members known, this daemon included; 0 before it has joined. */
  public constructor(
    private readonly readOptions: () => Pick<
      routedSettings.RoutedSettings,
      'retryAllowance' | 'retryWindow'
    >,
    private readonly countMembers: () => number,
    private readonly limits: ISharedLimits,
    private readonly clock: types.IClock,
  ) {
    this.startedMs = clock.monotonicMs();
  }

  /** Upper limit on the daemons that run now, as far as this one knows. */
  public get daemonCount(): number {
    const isSettled = this.clock.monotonicMs() - this.startedMs > MEMBERSHIP_SETTLE_MS;
    const counted = Math.ceil(DAEMON_COUNT_MARGIN * this.countMembers());
    return isSettled && counted > 1 ? counted : Math.max(ASSUMED_DAEMON_COUNT, counted);
  }

  /** Divides the limits now and at intervals. */
  public start(): void {
    const { daemonCount, limits } = this;
    const { retryAllowance, retryWindow } = this.readOptions();
    const share = (ALLOWANCE_UTILIZATION * retryAllowance) / daemonCount;
    limits.setRetryReserve(
      BURST_FRACTION * share,
      (1_000 * (1 - BURST_FRACTION) * share) / retryWindow,
    );
    const shared = limits.appliedDaemonCount ?? daemonCount;
    if (Math.abs(daemonCount - shared) > REDISTRIBUTION_THRESHOLD * shared)
      limits.redistributeServers();
    this.timer = this.clock.setTimer(UPDATE_INTERVAL_MS, () => this.start());
  }

  public dispose(): void {
    this.timer?.dispose();
  }
}
