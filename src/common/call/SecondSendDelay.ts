/** Delay before a second server is looked for if the first is known to be too slow, in milliseconds. */
const KNOWN_DELAY_MS = 5;

/** Time of an attempt, relative to its expected duration, from which its server may be slow. */
const OVERDUE_FACTOR = 1.5;

/** Time kept for a second attempt, relative to the service time on an idle server. */
const RESERVED_FACTOR = 1.2;

/** What is known of the first attempt of a call. */
export interface IFirstAttempt {
  /** Service time of a request on an idle server. */
  readonly idleServiceTimeMs: number;
  /** Expected duration relative to that, if a recent report tells it. */
  readonly relativeDuration: number | undefined;
  /** Time until the latency objective of the call. */
  readonly remainingMs: number;
}

/** Returns the time left until which a second attempt can still answer before the objective. */
export function latestMs({ idleServiceTimeMs, remainingMs }: IFirstAttempt): number {
  return remainingMs - RESERVED_FACTOR * idleServiceTimeMs;
}

/**
 * Returns the delay after which a second server is looked for: at once if the first one is expected to
 * answer after the objective, else once it is overdue. Undefined if a second one could not answer
 * before the objective.
 */
export function delayOf(first: IFirstAttempt): number | undefined {
  const { idleServiceTimeMs, relativeDuration, remainingMs } = first;
  const isExpected =
    relativeDuration === undefined || relativeDuration * idleServiceTimeMs <= remainingMs;
  const overdueMs = OVERDUE_FACTOR * (relativeDuration ?? 1) * idleServiceTimeMs;
  const delayMs = isExpected ? overdueMs : KNOWN_DELAY_MS;
  return delayMs <= latestMs(first) ? delayMs : undefined;
}
