/** Size limits for the records of one message. */
export interface IByteLimits {
  readonly totalBytes: number;
  /** Limit for recently changed records. */
  readonly changedBytes: number;
  /** Limit for the other records, which are sent in rotation. */
  readonly rotationBytes: number;
}

/**
 * Selects the records of a message when not all fit: first the most recently changed ones, then the
 * others in rotation, so that each record is sent again after a bounded number of messages.
 */
export class GossipQueue {
  /** Transmissions since the last change, by key. Ordered by the last change, oldest first. */
  private readonly changed = new Map<string, number>();

  /** Keys ordered by their last transmission, oldest first. */
  private readonly rotation = new Set<string>();

  /** @param transmissionsPerChange Number of messages in which a changed record has priority. */
  public constructor(private readonly transmissionsPerChange: number) {}

  /** Marks the record of `key` as new or changed. */
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
   * Selects the keys for one message and records their transmission.
   * @param sizeOf Returns the size of the record of a key, or 0 to leave it out of this message.
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

  /** Adds keys until one does not fit. Returns the number of bytes left. */
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
