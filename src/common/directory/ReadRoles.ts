import * as subset from '../policy/Subset';

/** Daemons per reader of the directory; bounds the messages that one reader sends. */
const DAEMONS_PER_READER = 16;

/** Minimum number of readers, so that the failure of one leaves no follower without updates. */
const MIN_READERS = 2;

/** Readers that notify each follower. */
const READERS_PER_FOLLOWER = 2;

/** Key of the rendezvous hash. Any constant gives each daemon the same rank on all daemons. */
const RANK_KEY = 'readers';

/** Role of a daemon in the distribution of the directory. */
export interface IReadRole {
  readonly isReader: boolean;
  /** Addresses of the daemons that this one notifies; empty unless it is a reader. */
  readonly followers: readonly string[];
}

/**
 * Returns the role of one daemon: a reader of the directory, or a follower that readers notify.
 * Daemons with different member lists may disagree, usually in favor of more readers than needed.
 * @param own Peer address of the daemon.
 * @param addresses Peer addresses of all live daemons, `own` included.
 */
export function roleOf(own: string, addresses: readonly string[]): IReadRole {
  const ranked = [...new Set([...addresses, own])]
    .map((address) => ({ address, rank: subset.rendezvousRank(RANK_KEY, address) }))
    .sort((left, right) => left.rank - right.rank)
    .map(({ address }) => address);
  const readerCount = Math.max(MIN_READERS, Math.ceil(ranked.length / DAEMONS_PER_READER));
  const position = ranked.indexOf(own);
  if (position >= readerCount) return { isReader: false, followers: [] };
  const followers = ranked
    .slice(readerCount)
    .filter(
      (_, index) =>
        (position - index + readerCount * ranked.length) % readerCount < READERS_PER_FOLLOWER,
    );
  return { isReader: true, followers };
}
