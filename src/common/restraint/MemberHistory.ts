import type * as types from '../Types';

/**
 * Time for which a daemon that is no longer known counts as a member, in milliseconds. It may be cut
 * off and go on sending requests, by the division that was in force before.
 */
const LOST_MEMBER_MS = 60_000;

/** Age until which a member is new, in milliseconds. Lists of members spread faster than that. */
const NEW_MEMBER_MS = 3_000;

/** Largest share of new members with which the members still count as known. */
const MAX_NEW_SHARE = 0.2;

/** Least share of the seed peers among the members. Thus at most two parts of a fleet have it. */
const MIN_SEED_SHARE = 0.5;

/**
 * Remembers the daemons of the fleet, and decides whether enough of them are known to divide what
 * must not be exceeded: not right after a start, not while many join, and not in a small part of a
 * fleet that is cut in several.
 */
export class MemberHistory {
  private readonly seen = new Map<string, { readonly firstMs: number; lastMs: number }>();

  private seedPeers: readonly string[] = [];

  private known: readonly string[] | undefined;

  public constructor(
    private readonly own: string,
    private readonly clock: types.IClock,
  ) {}

  /** Members in a fixed order, this daemon and lost ones included; undefined if too few are known. */
  public get members(): readonly string[] | undefined {
    return this.known;
  }

  /**
   * Records the daemons known now. To be called every second.
   * @param seedPeers Peers in the settings, whether they are known or not.
   */
  public record(daemons: readonly string[], seedPeers: readonly string[]): void {
    const nowMs = this.clock.monotonicMs();
    new Set([this.own, ...daemons]).forEach((daemon) => {
      const entry = this.seen.get(daemon);
      if (entry === undefined) this.seen.set(daemon, { firstMs: nowMs, lastMs: nowMs });
      else entry.lastMs = nowMs;
    });
    [...this.seen]
      .filter(([, { lastMs }]) => nowMs - lastMs >= LOST_MEMBER_MS)
      .forEach(([daemon]) => this.seen.delete(daemon));
    this.seedPeers = seedPeers;
    const members = this.isComplete(nowMs) ? [...this.seen.keys()].sort() : undefined;
    if (members?.join() !== this.known?.join()) this.known = members;
  }

  private isComplete(nowMs: number): boolean {
    const seeds = this.seedPeers.filter((daemon) => daemon !== this.own);
    const knownSeeds = seeds.filter((daemon) => this.seen.has(daemon));
    if (knownSeeds.length < MIN_SEED_SHARE * seeds.length) return false;
    const isNew = ({ firstMs }: { readonly firstMs: number }) => nowMs - firstMs < NEW_MEMBER_MS;
    const newMembers = [...this.seen.values()].filter(isNew);
    return newMembers.length <= MAX_NEW_SHARE * this.seen.size;
  }
}
