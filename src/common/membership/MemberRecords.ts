import type * as membershipTypes from './Types';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Range of the random part of an incarnation. Incarnations stay safe integers until 2109. */
const INCARNATION_RANDOM_RANGE = 2_048;

/**
 * Generates the incarnation of a process. Later processes at one address get higher numbers, so
 * that even a daemon that never saw the earlier process can tell which record is outdated.
 * @param startTime Wall-clock time at which the process started.
 * @param draw Random number in [0, 1) that distinguishes two starts in the same millisecond.
 */
export function newIncarnation(startTime: Date, draw: number): number {
  const random = Math.floor(draw * INCARNATION_RANDOM_RANGE);
  return startTime.getTime() * INCARNATION_RANDOM_RANGE + random;
}

/** Whether `record` is more recent than `known`, another record of the same member. */
export function isNewer(record: membershipTypes.IMember, known: membershipTypes.IMember): boolean {
  if (record.incarnation !== known.incarnation) return record.incarnation > known.incarnation;
  return record.heartbeat > known.heartbeat;
}

/**
 * Merges two records of one process. Fields that change only increase while the process runs, so
 * the merge is commutative and the result does not depend on the order in which records arrive.
 */
export function mergeRecords(
  known: membershipTypes.IMember,
  record: membershipTypes.IMember,
): membershipTypes.IMember {
  return {
    ...known,
    heartbeat: Math.max(known.heartbeat, record.heartbeat),
    leaving: known.leaving || record.leaving,
    tableVersion: Math.max(known.tableVersion, record.tableVersion),
  };
}

/** Returns the 32-bit FNV-1a hash that identifies the process of a record in heartbeat lists. */
export function heartbeatIdOf(record: membershipTypes.IMember): number {
  let hash = FNV_OFFSET;
  const text = `${record.address} ${record.incarnation}`;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }

  return hash >>> 0;
}
