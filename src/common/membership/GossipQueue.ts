/** Room in a message, in bytes. */
export interface IByteLimits {
  readonly totalBytes: number;
  /** Limit for records that changed recently. */
  readonly changedBytes: number;
  /** Limit for the other records, in turn. */
  readonly rotationBytes: number;
}

/**
 * Chooses which records a message carries when not all fit: the newest first, then the others
 * in turn, so that each record is sent again after a bounded number of messages.
 */
export class GossipQueue {
  /** Keys in the order of their last change, with the times that each was sent as a new one. */
  private readonly changed = new Map<string, number>();

  /** Keys in the order of their last transmission. */
  private readonly rotation = new Set<string>();

  /** @param transmissionsPerChange How often a changed record is sent before it counts as an old one. */
  public constructor(private readonly transmissionsPerChange: number) {}

  /** Notes that the record of `key` is new or changed. */
  public markChanged(key: string): void {
    this.changed.delete(key);
    this.changed.set(key, 0);
    this.rotation.add(key);
  }

  public remove(key: string): void {
    this.changed.delete(key);
    this.rotation.delete(key);
  }

  /**
   * Takes the keys for one message.
   * @param sizeOf Bytes that the record of a key takes; 0 leaves it out of this message.
   */
  public take(limits: IByteLimits, sizeOf: (key: string) => number): ReadonlySet<string> {
    const chosen = new Set<string>();
    const newestFirst = [...this.changed.keys()].reverse();
    const changedBytes = Math.min(limits.changedBytes, limits.totalBytes);
    const usedBytes = changedBytes - GossipQueue.fill(chosen, newestFirst, changedBytes, sizeOf);
    chosen.forEach((key) => this.countTransmission(key));
    const rotationBytes = Math.min(limits.rotationBytes, limits.totalBytes - usedBytes);
    GossipQueue.fill(chosen, this.rotation, rotationBytes, sizeOf);
    chosen.forEach((key) => {
      this.rotation.delete(key);
      this.rotation.add(key);
    });
    return chosen;
  }

  private countTransmission(key: string): void {
    const transmissions = (this.changed.get(key) ?? 0) + 1;
    if (transmissions >= this.transmissionsPerChange) this.changed.delete(key);
    else this.changed.set(key, transmissions);
  }

  /** Adds keys until one does not fit, and returns the room that is left. */
  private static fill(
    chosen: Set<string>,
    keys: Iterable<string>,
    limitBytes: number,
    sizeOf: (key: string) => number,
  ): number {
    let leftBytes = limitBytes;
    for (const key of keys) {
      const bytes = chosen.has(key) ? 0 : sizeOf(key);
      if (bytes > leftBytes) return leftBytes;
      if (bytes > 0) chosen.add(key);
      leftBytes -= bytes;
    }
    return leftBytes;
  }
}
