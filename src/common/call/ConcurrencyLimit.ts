import type * as policyTypes from '../policy/Types';

/** Number of queued requests per slot above which a server counts as congested. */
const CONGESTED_QUEUE_PER_SLOT = 2;

/** Decrease of the limit for each report of a congested server and each timeout. */
const DECREASE = 0.5;

/**
 * Adaptive limit on the concurrent calls of one service at this daemon. Load reports raise it while
 * servers have free capacity, and lower it when their queues grow. Daemons need no coordination,
 * since all of them observe the queues of the same servers.
 */
export class ConcurrencyLimit {
  private limit = 8;

  private min = 2;

  private max = 8;

  /** Maximum number of concurrent calls. */
  public get value(): number {
    return Math.floor(this.limit);
  }

  /**
   * Sets the bounds from the table.
   * @param totalSlots Number of slots of all servers of the service.
   * @param connections Number of connections that this daemon may open to them.
   */
  public setBounds(totalSlots: number, connections: number, maxDaemons: number): void {
    const share = Math.ceil(totalSlots / maxDaemons);
    // The lower bound keeps false reports of congestion from taking away this daemon's share.
    this.min = share + 1;
    this.max = Math.max(this.min, connections);
    const initial = Math.max(8, 2 * share);
    this.limit = Math.min(this.max, Math.max(this.min, this.limit, initial));
  }

  /**
   * Fixes the limit at its upper bound, the number of connections. Used if servers are checked
   * before each dispatch, since a call then waits for a free server during its selection.
   */
  public fixAtMaximum(): void {
    this.min = this.max;
    this.limit = this.max;
  }

  /** Adjusts the limit to a load report of a server. */
  public recordReport(report: policyTypes.ILoadReport, slots: number, inFlight: number): void {
    if (report.queued > CONGESTED_QUEUE_PER_SLOT * slots) {
      this.limit = Math.max(this.min, this.limit - DECREASE);
      return;
    }
    // With less than half of the limit in use, reports do not show the capacity of the servers.
    if (inFlight < this.limit / 2) return;
    const increase = report.queued === 0 ? 1 : 1 / this.limit;
    this.limit = Math.min(this.max, this.limit + increase);
  }

  /** Lowers the limit after an attempt that timed out. */
  public recordTimeout(): void {
    this.limit = Math.max(this.min, this.limit - DECREASE);
  }
}
