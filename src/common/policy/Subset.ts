import * as crypto from 'node:crypto';

import type * as tableTypes from '../table/Types';

/** Default size of a subset. A daemon uses all servers of a service that has no more. */
export const DEFAULT_SUBSET_SIZE = 30;

function rendezvousHash(daemon: string, address: string): string {
  return crypto.createHash('sha256').update(`${daemon} ${address}`).digest('hex');
}

/** Returns the rank of a server for one daemon, in [0, 1). It differs between daemons. */
export function rendezvousRank(daemon: string, address: string): number {
  return Number.parseInt(rendezvousHash(daemon, address).slice(0, 12), 16) / 16 ** 12;
}

/**
 * Returns the servers that a daemon uses, at most `size` and spread evenly over the failure
 * domains. The result depends on the arguments alone, and adding or removing one server replaces at
 * most one server of the subset in its failure domain (rendezvous hashing).
 * @param daemon Address of the daemon.
 */
export function subsetOf(
  rows: readonly tableTypes.IServerRow[],
  daemon: string,
  size = DEFAULT_SUBSET_SIZE,
): readonly tableTypes.IServerRow[] {
  if (rows.length <= size) return rows;
  const ranked = rows
    .map((row) => ({ row, rank: rendezvousHash(daemon, row.address) }))
    .sort((left, right) => (left.rank < right.rank ? -1 : 1));
  const taken = new Map<string, number>();
  return ranked
    .map(({ row }) => {
      const position = taken.get(row.failureDomain) ?? 0;
      taken.set(row.failureDomain, position + 1);
      return { row, position };
    })
    .sort((left, right) => left.position - right.position)
    .slice(0, size)
    .map(({ row }) => row);
}
