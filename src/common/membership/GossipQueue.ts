/** Share of a message for the newest records. The rest goes to those not sent for longest. */
const NEWEST_SHARE = 0.5;

/**
 * Chooses which records a message carries when not all fit: the newest first, then the others
 * in turn, so that each record is sent again after a bounded number of messages.
 */
export class GossipQueue {
  /** Keys in the order of their last change. */
  private readonly byChange = new Set<string>();

  /** Keys in the order of their last transmission. */
  private readonly byTurn = new Set<string>();

  /** Notes that the record of `key` is new or changed. */
  public touch(key: string): void {
    this.byChange.delete(key);
    this.byChange.add(key);
    this.byTurn.add(key);
  }

  public remove(key: string): void {
    this.byChange.delete(key);
    this.byTurn.delete(key);
  }

  /**
   * Takes the keys for one message.
   * @param budgetBytes Room in the message.
   * @param sizeOf Bytes that the record of a key takes; 0 leaves it out of this message.
   */
  public take(budgetBytes: number, sizeOf: (key: string) => number): ReadonlySet<string> {
    const chosen = new Set<string>();
    const newest = [...this.byChange].reverse();
    const leftBytes = GossipQueue.fill(chosen, newest, budgetBytes * NEWEST_SHARE, sizeOf);
    const spareBytes = budgetBytes * (1 - NEWEST_SHARE) + leftBytes;
    GossipQueue.fill(chosen, this.byTurn, spareBytes, sizeOf);
    chosen.forEach((key) => {
      this.byTurn.delete(key);
      this.byTurn.add(key);
    });
    return chosen;
  }

  /** Adds keys until one does not fit, and returns the room that is left. */
  private static fill(
    chosen: Set<string>,
    keys: Iterable<string>,
    budgetBytes: number,
    sizeOf: (key: string) => number,
  ): number {
    let leftBytes = budgetBytes;

    for (const key of keys) {
      const bytes = chosen.has(key) ? 0 : sizeOf(key);
      if (bytes > leftBytes) return leftBytes;
      if (bytes > 0) chosen.add(key);
      leftBytes -= bytes;
    }
    return leftBytes;
  }
}
