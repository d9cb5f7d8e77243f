import type * as types from '../Types';

/** Refill of the bucket. */
export const BYTES_PER_SECOND = 5_120;
/** Size of the bucket. No second carries more than the refill and a full bucket: 8 KB. */
export const BURST_BYTES = 3_072;
/** Part of the bucket that is kept for urgent facts: four messages of 256 bytes. */
export const URGENT_RESERVE_BYTES = 1_024;

/** Bounds the bytes that a daemon sends to its peers (token bucket). */
export class GossipBudget {
  private tokens = BURST_BYTES;

  private refilledAtMs: number;

  private spentBytes = 0;

  public constructor(private readonly clock: types.IClock) {
    this.refilledAtMs = clock.monotonicMs();
  }

  /** Bytes that may be sent now. Below 0 after a reply that could not be withheld. */
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

  /** Records that a message was sent. */
  public spend(bytes: number): void {
    this.tokens = this.availableBytes - bytes;
    this.refilledAtMs = this.clock.monotonicMs();
    this.spentBytes += bytes;
  }
}
