import type * as soakTypes from './Types';

/** Time within which a published configuration must be active, in milliseconds. */
const APPLY_MS = 2_000;

/** Time after a fault of the store or of a daemon in which that does not hold, in milliseconds. */
const STABLE_MS = 3_000;

/** Returns the samples of daemons that had an older version than they should have had by then. */
export function findLate(
  samples: readonly soakTypes.IVersionSample[],
  publications: readonly soakTypes.IPublication[],
  faultIntervals: readonly soakTypes.IFaultInterval[],
): readonly soakTypes.IVersionSample[] {
  return samples.filter(({ daemon, version, atMs }) => {
    const isDue = publications.some((one) => one.version > version && one.atMs + APPLY_MS < atMs);
    const isExcused = faultIntervals.some(({ kind, componentIndex, beginMs, endMs }) => {
      const concerns =
        kind === 'store' || (kind.startsWith('daemon-') && componentIndex === daemon);
      return concerns && beginMs <= atMs && endMs + STABLE_MS >= atMs;
    });
    return isDue && !isExcused;
  });
}
