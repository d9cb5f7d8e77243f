import * as lruCache from 'lru-cache';

import * as subset from '../policy/Subset';
import type * as types from '../Types';
import type * as reachTypes from './Types';

/** Number of helpers among which calls are spread, so that few connections are needed. */
const HELPERS = 4;

/** Time for which a peer that could not help is not asked again, in milliseconds. */
const AVOIDANCE_MS = 2_000;

/**
 * Share of avoided peers from which on a failure domain is left out, since its other peers probably
 * lack the same servers.
 */
const MAX_AVOIDED_SHARE = 0.25;

const MAX_RANKS = 4_000;

/** Chooses the peers that run calls for this daemon, first those of its own failure domain. */
export class HelperChoice {
  private readonly avoidedUntilMs = new Map<string, number>();

  private readonly ranks = new lruCache.LRUCache<string, number>({ max: MAX_RANKS });

  /**
   * @param own This daemon.
   * @param readPeers Returns the peers that run and are not stopping.
   */
  public constructor(
    private readonly own: reachTypes.IHelper,
    private readonly readPeers: () => readonly reachTypes.IHelper[],
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
  ) {}

  /**
   * Returns the address of the peer to ask next, or undefined if there is none.
   * @param asked Peers that this call has asked already.
   */
  public choose(asked: ReadonlySet<string>): string | undefined {
    const peers = this.readPeers();
    const available = peers.filter(
      ({ address }) => !asked.has(address) && !this.isAvoided(address),
    );
    const doubtful = this.doubtfulDomains(peers);
    const hopeful = available.filter(({ failureDomain }) => !doubtful.has(failureDomain));
    const near = hopeful.filter(({ failureDomain }) => failureDomain === this.own.failureDomain);
    const candidates = [near, hopeful, available].find((group) => group.length > 0) ?? [];
    const preferred = [...candidates]
      .sort((left, right) => this.rankOf(left.address) - this.rankOf(right.address))
      .slice(0, HELPERS);
    return preferred[Math.floor(this.random.next() * preferred.length)]?.address;
  }

  /** Records that a peer could not help. */
  public avoid(address: string): void {
    const nowMs = this.clock.monotonicMs();
    this.avoidedUntilMs.forEach((untilMs, other) => {
      if (untilMs <= nowMs) this.avoidedUntilMs.delete(other);
    });
    this.avoidedUntilMs.set(address, nowMs + AVOIDANCE_MS);
  }

  private isAvoided(address: string): boolean {
    return (this.avoidedUntilMs.get(address) ?? 0) > this.clock.monotonicMs();
  }

  /** Returns the failure domains of which many peers could not help. */
  private doubtfulDomains(peers: readonly reachTypes.IHelper[]): ReadonlySet<string> {
    const counts = new Map<string, { total: number; avoided: number }>();
    peers.forEach(({ address, failureDomain }) => {
      const { total, avoided } = counts.get(failureDomain) ?? { total: 0, avoided: 0 };
      const added = this.isAvoided(address) ? 1 : 0;
      counts.set(failureDomain, { total: total + 1, avoided: avoided + added });
    });
    const isDoubtful = ([, { total, avoided }]: [string, { total: number; avoided: number }]) =>
      avoided > MAX_AVOIDED_SHARE * total;
    return new Set([...counts].filter(isDoubtful).map(([domain]) => domain));
  }

  private rankOf(address: string): number {
    const known = this.ranks.get(address);
    if (known !== undefined) return known;
    const rank = subset.rendezvousRank(this.own.address, address);
    this.ranks.set(address, rank);
    return rank;
  }
}
