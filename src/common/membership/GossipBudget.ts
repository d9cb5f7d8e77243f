import type * as types from '../Types';

/** Refill rate of the token bucket. */
export const BYTES_PER_SECOND = 5_120;
/** Capacity of the bucket. At most the refill plus a full bucket is sent in a second: 8 KB. */
export const BURST_BYTES = 3_072;
/** Part of the bucket that is reserved for urgent facts: four messages of 256 bytes. */
export const URGENT_RESERVE_BYTES = 1_024;

/** Token bucket that limits the bytes a daemon sends to its peers. */
export class GossipBudget {
  private tokens = BURST_BYTES;

  private refilledAtMs: number;

  private spentBytes = 0;

  public constructor(private readonly clock: types.IClock) {
    this.refilledAtMs = clock.monotonicMs();
  }

  /** Bytes that may be sent now. Negative after a reply that exceeded the budget. */
  public get availableBytes(): number {
    const elapsedMs = this.clock.monotonicMs() - this.refilledAtMs;
    return Math.min(BURST_BYTES, this.tokens + (elapsedMs * BYTES_PER_SECOND) / 1_000);
  }

  /** Bytes that regular exchanges may send now. */
  public get regularBytes(): number {
    return this.availableBytes - URGENT_RESERVE_BYTES;
  }

  /** Bytes sent since the start. */
  public get totalSpentBytes(): number {
    return this.spentBytes;
  }

  /** Charges a message that is sent. */
  public spend(bytes: number): void {
    this.tokens = this.availableBytes - bytes;
    this.refilledAtMs = this.clock.monotonicMs();
    this.spentBytes += bytes;
  }
}
