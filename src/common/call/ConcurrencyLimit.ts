import type * as policyTypes from '../policy/Types';

/** Requests waiting for each slot at a server from which on it counts as congested. */
const CONGESTED_QUEUE_PER_SLOT = 2;

/** Decrease of the limit for each answer from a congested server. */
const DECREASE = 0.5;

/**
 * Limits the calls of one service that this daemon runs at once. Each answer moves the limit:
 * up while servers are free, down when their queues grow. Daemons need no agreement, since all
 * of them see the queues of the same servers.
 */
export class ConcurrencyLimit {
  private limit = 8;

  private min = 2;

  private max = 8;

  /** Calls that may run at once. */
  public get value(): number {
    return Math.floor(this.limit);
  }

  /**
   * Sets the bounds from the table.
   * @param totalSlots Slots of all servers of the service.
   * @param connections Connections that this daemon may hold to them.
   */
  public setBounds(totalSlots: number, connections: number, maxDaemons: number): void {
    const share = Math.ceil(totalSlots / maxDaemons);
    // Reports that wrongly show congestion must not stop the daemon from using its share.
    this.min = share + 1;
    this.max = Math.max(this.min, connections);
    const initial = Math.max(8, 2 * share);
    this.limit = Math.min(this.max, Math.max(this.min, this.limit, initial));
  }

  /**
   * Lets every call start that the connections allow, where servers are asked before each dispatch
   * and a call waits for one of them that is free.
   */
  public fixAtMaximum(): void {
    this.min = this.max;
    this.limit = this.max;
  }

  /** Takes the load that a server reported with an answer. */
  public recordReport(report: policyTypes.ILoadReport, slots: number, inFlight: number): void {
    if (report.queued > CONGESTED_QUEUE_PER_SLOT * slots) {
      this.limit = Math.max(this.min, this.limit - DECREASE);
      return;
    }
    // A limit that is not in use says nothing about what the servers could bear.
    if (inFlight < this.limit / 2) return;
    const increase = report.queued === 0 ? 1 : 1 / this.limit;
    this.limit = Math.min(this.max, this.limit + increase);
  }

  /** Takes a call that ended without an answer in time. */
  public recordTimeout(): void {
    this.limit = Math.max(this.min, this.limit - DECREASE);
  }
}
