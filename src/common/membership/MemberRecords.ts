import type * as membershipTypes from './Types';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Random part of an incarnation. With the milliseconds it stays a safe integer until 2109. */
const INCARNATION_RANDOM_RANGE = 2_048;

/**
 * Draws the incarnation of a process. Later processes at one address get higher numbers, so
 * that a daemon which never saw the earlier process can still tell which record is old.
 * @param startTime Wall-clock time of the start.
 * @param draw Random number in [0, 1), which tells apart two starts in the same millisecond.
 */
export function newIncarnation(startTime: Date, draw: number): number {
  const random = Math.floor(draw * INCARNATION_RANDOM_RANGE);
  return startTime.getTime() * INCARNATION_RANDOM_RANGE + random;
}

/** Whether `record` tells more recent news of its member than `known`. */
export function isNewer(record: membershipTypes.IMember, known: membershipTypes.IMember): boolean {
  if (record.incarnation !== known.incarnation) return record.incarnation > known.incarnation;
  return record.heartbeat > known.heartbeat;
}

/**
 * Combines two records of one process. Each member only grows while the process runs, so the
 * result does not depend on the order in which records arrive.
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

/** A 32-bit number that stands for the process of a record in a list of heartbeats (FNV-1a). */
export function heartbeatIdOf(record: membershipTypes.IMember): number {
  let hash = FNV_OFFSET;
  const text = `${record.address} ${record.incarnation}`;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }

  return hash >>> 0;
}
