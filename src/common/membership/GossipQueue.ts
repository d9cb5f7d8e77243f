/** Room in a message, in bytes. */
export interface IRoom {
  readonly totalBytes: number;
  /** Limit for records that changed recently. */
  readonly newestBytes: number;
  /** Limit for the other records, in turn. */
  readonly othersBytes: number;
}

/**
 * Chooses which records a message carries when not all fit: the newest first, then the others
 * in turn, so that each record is sent again after a bounded number of messages.
 */
export class GossipQueue {
  /** Keys in the order of their last change, with the times that each was sent as a new one. */
  private readonly newest = new Map<string, number>();

  /** Keys in the order of their last transmission. */
  private readonly byTurn = new Set<string>();

  /** @param newestTimes How often a changed record is sent before it counts as an old one. */
  public constructor(private readonly newestTimes: number) {}

  /** Notes that the record of `key` is new or changed. */
  public touch(key: string): void {
    this.newest.delete(key);
    this.newest.set(key, 0);
    this.byTurn.add(key);
  }

  public remove(key: string): void {
    this.newest.delete(key);
    this.byTurn.delete(key);
  }

  /**
   * Takes the keys for one message.
   * @param sizeOf Bytes that the record of a key takes; 0 leaves it out of this message.
   */
  public take(room: IRoom, sizeOf: (key: string) => number): ReadonlySet<string> {
    const chosen = new Set<string>();
    const newest = [...this.newest.keys()].reverse();
    const newestBytes = Math.min(room.newestBytes, room.totalBytes);
    const usedBytes = newestBytes - GossipQueue.fill(chosen, newest, newestBytes, sizeOf);
    chosen.forEach((key) => this.countNewest(key));
    const othersBytes = Math.min(room.othersBytes, room.totalBytes - usedBytes);
    GossipQueue.fill(chosen, this.byTurn, othersBytes, sizeOf);
    chosen.forEach((key) => {
      this.byTurn.delete(key);
      this.byTurn.add(key);
    });
    return chosen;
  }

  private countNewest(key: string): void {
    const times = (this.newest.get(key) ?? 0) + 1;
    if (times >= this.newestTimes) this.newest.delete(key);
    else this.newest.set(key, times);
  }

  /** Adds keys until one does not fit, and returns the room that is left. */
  private static fill(
    chosen: Set<string>,
    keys: Iterable<string>,
    roomBytes: number,
    sizeOf: (key: string) => number,
  ): number {
    let leftBytes = roomBytes;
    for (const key of keys) {
      const bytes = chosen.has(key) ? 0 : sizeOf(key);
      if (bytes > leftBytes) return leftBytes;
      if (bytes > 0) chosen.add(key);
      leftBytes -= bytes;
    }
    return leftBytes;
  }
}
