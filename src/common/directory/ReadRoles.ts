import * as subset from '../policy/Subset';

/** Daemons for each reader of the directory; a bound on the messages that one reader sends. */
const DAEMONS_PER_READER = 16;

/** Fewest readers, so that the loss of one leaves no daemon without news. */
const MIN_READERS = 2;

/** Readers that notify each follower. */
const READERS_PER_FOLLOWER = 2;

/** Any constant text; it makes the rank of a daemon the same everywhere. */
const RANK_KEY = 'readers';

/** What one daemon does to keep the fleet's directory up to date. */
export interface IReadRole {
  readonly isReader: boolean;
  /** Addresses of the daemons that this one notifies; empty unless it is a reader. */
  readonly followers: readonly string[];
}

/**
 * Divides a fleet into daemons that read the directory and daemons that learn from them. Daemons
 * that see different members may disagree; then there are more readers than needed.
 * @param addresses Peer addresses of all live daemons, `own` included.
 */
export function roleOf(own: string, addresses: readonly string[]): IReadRole {
  const ranked = [...new Set([...addresses, own])]
    .map((address) => ({ address, rank: subset.rankAt(RANK_KEY, address) }))
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
