import type * as soakTypes from './Types';

/** Window in which requests to a cold server are counted, in milliseconds. */
const WINDOW_MS = 1_000;

/** Time after a network fault in which requests that it held up arrive, in milliseconds. */
const HELD_UP_MS = 2_000;

/** Records of the requests that reached cold servers. */
export interface IColdObservations {
  readonly arrivals: readonly soakTypes.IArrivalRecord[];
  readonly coldIntervals: readonly soakTypes.IColdInterval[];
  readonly faultIntervals: readonly soakTypes.IFaultInterval[];
}

/** Returns the cold times of servers that got more requests in one second than the bound. */
export function findColdOverruns(
  { arrivals, coldIntervals, faultIntervals }: IColdObservations,
  bound: number,
): readonly soakTypes.IColdInterval[] {
  const networkFaults = faultIntervals.filter(({ kind }) => kind === 'network');
  const isHeldUp = (atMs: number) =>
    networkFaults.some(({ beginMs, endMs }) => atMs >= beginMs && atMs <= endMs + HELD_UP_MS);
  return coldIntervals.filter(({ process, beginMs, endMs }) => {
    const timesMs = arrivals
      .filter((arrival) => arrival.process === process)
      .map(({ atMs }) => atMs)
      .filter((atMs) => atMs >= beginMs && atMs <= endMs && !isHeldUp(atMs));
    return timesMs.some((startMs) => {
      const inWindow = timesMs.filter((atMs) => atMs >= startMs && atMs <= startMs + WINDOW_MS);
      return inWindow.length > bound;
    });
  });
}
