import * as subset from '../policy/Subset';
import type * as types from '../Types';
import type * as restraintTypes from './Types';

/**
 * Parts of the fleet that may each divide the whole budget of a cold server, since the daemons of
 * one do not know those of the other. See `MemberHistory`.
 */
const MAX_VIEWS = 2;

/** Most permits that all daemons together save. Each one saved is one that may be used at once. */
const MAX_SAVED_PERMITS = 4;

/** Number of daemons assumed by one that does not know the members. */
const ASSUMED_DAEMONS = 512;

/** Time for which a permit that is drawn without knowledge of the members is valid. */
const SLOT_MS = 1_000;

/** Requests that all daemons together may send to a cold server. */
export interface IColdBudget {
  readonly perSecond: number;
  /** Requests that may come at once beside these. */
  readonly burst: number;
}

/** Daemons among which the requests to a cold server are divided. */
export interface IColdView {
  readonly own: string;
  /** Peer addresses in a fixed order, this daemon included; undefined if too few are known. */
  readonly members: readonly string[] | undefined;
}

/**
 * Returns the budget of a cold server, so that two parts of the fleet with a budget each still keep
 * to the bound in any one second.
 * @param requestsPerSecond Requests a second that the server takes while it is cold.
 */
export function budgetOf(
  requestsPerSecond: number,
  { rateFactor, rateAllowance }: restraintTypes.IColdTerms,
): IColdBudget {
  const total = (requestsPerSecond * rateFactor + rateAllowance) / MAX_VIEWS;
  // Less than one permit could never be used.
  const burst = Math.min(MAX_SAVED_PERMITS, Math.max(total / 2, Math.min(1, total)));
  return { perSecond: Math.min(requestsPerSecond, total - burst), burst };
}

/**
 * Share of this daemon in the requests that a cold server takes. A few daemons hold all permits, so
 * that each of them earns a whole one in useful time: those that rank the server first. A daemon that
 * does not know the members draws a permit at random, rarely enough for any number of daemons.
 */
export class ColdShare {
  private permits = 0;

  /** Whether the server was cold before, so that the permits are those that are left. */
  private hasBegun = false;

  private refilledAtMs: number;

  private rate = 0;

  private maxPermits = 0;

  private budget: IColdBudget = { perSecond: 0, burst: 0 };

  /** Time slot for which a permit was drawn last. */
  private slot = Number.NaN;

  private readonly slotOffsetMs: number;

  /** Ranks of the server for the daemons. A hash takes microseconds. */
  private ranks: ReadonlyMap<string, number> = new Map();

  private position = 0;

  public constructor(
    private readonly server: string,
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
    private view: IColdView,
  ) {
    this.refilledAtMs = clock.monotonicMs();
    this.slotOffsetMs = random.next() * SLOT_MS;
    this.position = this.findPosition();
  }

  /** Requests a second that this daemon may send. */
  public get perSecond(): number {
    return this.rate;
  }

  /** Whether this daemon may send a request now. */
  public get hasPermit(): boolean {
    this.refill();
    return this.permits >= 1;
  }

  public setBudget(budget: IColdBudget): void {
    if (budget.perSecond === this.budget.perSecond && budget.burst === this.budget.burst) return;
    this.budget = budget;
    this.divide();
  }

  /** Sets the daemons that share the budget. Those that hold permits from then on begin with none. */
  public setView(view: IColdView): void {
    if (view === this.view) return;
    this.refill();
    const wasKnown = this.view.members !== undefined;
    this.view = view;
    this.position = this.findPosition();
    this.divide();
    if (!wasKnown) this.permits = Math.min(this.permits, 0);
  }

  /**
   * Begins a cold period of the server. The first permits come at different times at the daemons,
   * and later at those that have just sent requests without knowing that the server is cold.
   * @param recentRequests Requests that this daemon sent to the server in the last second.
   */
  public begin(recentRequests: number): void {
    this.refill();
    const isFirst = !this.hasBegun;
    this.hasBegun = true;
    if (this.view.members === undefined) return;
    const spread = Math.min(this.maxPermits, this.random.next());
    const permits = isFirst ? spread : Math.min(this.permits, spread);
    this.permits = Math.max(-this.maxPermits, permits - recentRequests);
  }

  public recordRequest(): void {
    this.refill();
    this.permits -= 1;
  }

  private findPosition(): number {
    const { own, members = [] } = this.view;
    const daemons = [own, ...members];
    this.ranks = new Map(
      daemons.map((daemon) => [
        daemon,
        this.ranks.get(daemon) ?? subset.rendezvousRank(daemon, this.server),
      ]),
    );
    const ownRank = this.ranks.get(own) ?? 0;
    return members.filter((daemon) => (this.ranks.get(daemon) ?? 0) < ownRank).length;
  }

  private divide(): void {
    this.refill();
    const { budget, position, view } = this;
    if (view.members === undefined) {
      this.rate = budget.perSecond / ASSUMED_DAEMONS;
      this.maxPermits = 1;
      return;
    }
    const holders = Math.min(view.members.length, Math.floor(budget.burst));
    const isHolder = position < holders;
    this.rate = isHolder ? budget.perSecond / holders : 0;
    this.maxPermits = isHolder ? budget.burst / holders : 0;
  }

  private refill(): void {
    const nowMs = this.clock.monotonicMs();
    if (this.view.members === undefined) {
      this.draw(nowMs);
    } else {
      const earned = ((nowMs - this.refilledAtMs) / 1_000) * this.rate;
      this.permits = Math.min(this.maxPermits, this.permits + earned);
    }
    this.refilledAtMs = nowMs;
  }

  /** Draws the permit of a new slot. The one of the slot before is void, so that none are saved. */
  private draw(nowMs: number): void {
    const slot = Math.floor((nowMs + this.slotOffsetMs) / SLOT_MS);
    if (slot === this.slot) return;
    this.slot = slot;
    this.permits = this.random.next() < (this.rate * SLOT_MS) / 1_000 ? 1 : 0;
  }
}
