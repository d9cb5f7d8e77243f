import * as subset from '../policy/Subset';
import type * as types from '../Types';
import type * as restraintTypes from './Types';

/**
 * Requests that a server with a limit of one a second, and with any limit, may get at once beside its
 * limit. In 4 s it thus gets less than one and a half times its limit and 5 requests, also where
 * daemons know different members.
 */
const BURST_PER_LIMIT = 1.4;
const MIN_BURST = 4;

/** Least burst of one daemon. With 1, permits expire between the calls that could use them. */
const MIN_BURST_PER_DAEMON = 2;

/** Share of one daemon in the requests that a server takes from all daemons together. */
export class RequestShare {
  private permits: number;

  private refilledAtMs: number;

  private rate = 0;

  /** Most permits that this daemon may save. */
  private burst = 1;

  private limit = 0;

  /** Number of daemons that come before this one among those that use the server. */
  private position: number;

  /** Ranks of the server for the daemons that share its limit. A hash takes microseconds. */
  private ranks: ReadonlyMap<string, number> = new Map();

  public constructor(
    private readonly server: string,
    private readonly clock: types.IClock,
    private view: restraintTypes.IDaemonView,
  ) {
    this.refilledAtMs = clock.monotonicMs();
    this.position = this.findPosition();
    // All daemons learn of a limit at about the same time. Different amounts at the start keep them
    // from sending their requests at the same moment.
    this.permits = subset.rendezvousRank(`${view.own} share`, server);
  }

  /** Requests a second that this daemon may send. */
  public get perSecond(): number {
    return this.rate;
  }

  /** Sets the limit that the server names, in requests a second. */
  public setLimit(limit: number): void {
    if (limit === this.limit) return;
    this.limit = limit;
    this.divide();
  }

  /** Sets the daemons that share the limit. */
  public setView(view: restraintTypes.IDaemonView): void {
    if (view === this.view) return;
    this.view = view;
    this.position = this.findPosition();
    this.divide();
  }

  /** Time until this daemon may send the next request, in milliseconds; infinite if never. */
  public get waitMs(): number {
    this.refill();
    if (this.permits >= 1) return 0;
    return this.rate > 0 ? ((1 - this.permits) / this.rate) * 1_000 : Number.POSITIVE_INFINITY;
  }

  public recordRequest(): void {
    this.refill();
    this.permits -= 1;
  }

  /** The daemons that rank a server first are those that have it in their subset of servers. */
  private findPosition(): number {
    const { own, daemons = [] } = this.view;
    this.ranks = new Map(
      [own, ...daemons].map((daemon) => [
        daemon,
        this.ranks.get(daemon) ?? subset.rendezvousRank(daemon, this.server),
      ]),
    );
    const ownRank = this.ranks.get(own) ?? 0;
    return daemons.filter((daemon) => (this.ranks.get(daemon) ?? 0) < ownRank).length;
  }

  private divide(): void {
    this.refill();
    const { limit, position } = this;
    const { daemons, assumedCount } = this.view;
    if (daemons === undefined) {
      this.rate = limit / assumedCount;
      this.burst = 1;
      return;
    }
    const fleetBurst = BURST_PER_LIMIT * limit + MIN_BURST;
    const holders = Math.min(daemons.length, Math.floor(fleetBurst / MIN_BURST_PER_DAEMON));
    this.rate = position < holders ? limit / holders : 0;
    this.burst = position < holders ? fleetBurst / holders : 0;
  }

  private refill(): void {
    const nowMs = this.clock.monotonicMs();
    const earned = ((nowMs - this.refilledAtMs) / 1_000) * this.rate;
    this.permits = Math.min(this.burst, this.permits + earned);
    this.refilledAtMs = nowMs;
  }
}
