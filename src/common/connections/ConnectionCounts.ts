import type * as connectionTypes from './Types';

/** Counts the connections that were opened and closed, by cause. */
export class ConnectionCounts implements connectionTypes.IConnectionObserver {
  private readonly counts = new Map<string, number>();

  /** Counts by cause. Openings start with `opened:`, closures with `closed:`. */
  public get byCause(): ReadonlyMap<string, number> {
    return this.counts;
  }

  /** Number of connections opened and closed. */
  public get total(): number {
    return [...this.counts.values()].reduce((sum, count) => sum + count, 0);
  }

  public onOpened(purpose: 'check' | 'request', reason: connectionTypes.OpenReason): void {
    this.add(`opened:${purpose}:${reason}`);
  }

  public onClosed(cause: connectionTypes.CloseCause): void {
    this.add(`closed:${cause}`);
  }

  private add(cause: string): void {
    this.counts.set(cause, (this.counts.get(cause) ?? 0) + 1);
  }
}
