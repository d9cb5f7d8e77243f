/** Time without any reply after which servers that were asked count as out of reach, in milliseconds. */
const SILENCE_MS = 400;

/** Age at which an unanswered check counts, in milliseconds. Servers answer checks at once. */
const OVERDUE_MS = 150;

/** Number of servers that have to be silent, if there are so many: fewer may have failed together. */
const MIN_SILENT_SERVERS = 3;

/** Decides whether the servers of one group have stopped to answer this daemon. */
export class Silence {
  /** Monotonic time at which each server was asked, of those that have not answered since. */
  private readonly askedMs = new Map<string, number>();

  private isLost = false;

  /** @param lastReplyMs Monotonic time from which on the silence is counted. */
  public constructor(private lastReplyMs: number) {}

  public get isReachable(): boolean {
    return !this.isLost;
  }

  /** Whether a check has not been answered. */
  public get isWaiting(): boolean {
    return this.askedMs.size > 0;
  }

  public silentMs(nowMs: number): number {
    return nowMs - this.lastReplyMs;
  }

  /** Number of servers whose check is overdue. */
  public countSilent(nowMs: number): number {
    return [...this.askedMs.values()].filter((askedMs) => nowMs - askedMs >= OVERDUE_MS).length;
  }

  public recordAsked(address: string, nowMs: number): void {
    if (!this.askedMs.has(address)) this.askedMs.set(address, nowMs);
  }

  /** Records that a server could not be reached. */
  public recordFailure(address: string): void {
    this.askedMs.set(address, Number.NEGATIVE_INFINITY);
  }

  /** Records a reply of a server. */
  public recordReply(nowMs: number): void {
    this.lastReplyMs = nowMs;
    this.askedMs.clear();
    this.isLost = false;
  }

  /** Discards the evidence, for example because this process did not run for a while. */
  public restart(nowMs: number): void {
    this.lastReplyMs = nowMs;
    this.askedMs.clear();
  }

  /** Forgets servers that are no longer listed. */
  public retain(addresses: ReadonlySet<string>): void {
    [...this.askedMs.keys()]
      .filter((address) => !addresses.has(address))
      .forEach((address) => this.askedMs.delete(address));
  }

  /**
   * Decides anew whether the servers are silent.
   * @param serverCount Number of servers of the group.
   */
  public evaluate(nowMs: number, serverCount: number): void {
    if (this.isLost) {
      this.isLost = serverCount > 0;
      return;
    }
    const required = Math.min(MIN_SILENT_SERVERS, serverCount);
    if (required === 0 || this.silentMs(nowMs) < SILENCE_MS) return;
    this.isLost = this.countSilent(nowMs) >= required;
  }
}
