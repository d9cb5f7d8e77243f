import type * as schedulingTypes from './Types';

/**
 * Work that a call may turn out to need, relative to the expected one. A call counts as in time while
 * it could be with this: the work of calls varies, and one that is given up for late is certainly late.
 */
export const SHORT_WORK = 0.75;

/**
 * Fraction of the time until the deadline after which a call that can no longer meet its objective
 * is refused. Three quarters of the time are then left for another daemon, at a time at which this
 * one's overload may have ended.
 */
const MAX_HOLD_FRACTION = 0.25;

/** The same fraction for a call that was refused before: its caller does not return again. */
const MAX_HOLD_FRACTION_OF_RETURNED = 0.7;

/**
 * Returns the limits in time of a call that enters now.
 * @param elapsedMs Time since the caller sent its first attempt.
 */
export function termsOf(
  call: schedulingTypes.ScheduledCall,
  workMs: number | undefined,
  nowMs: number,
  elapsedMs = 0,
): schedulingTypes.ICallTerms {
  const objectiveAtMs = (call.objectiveAtMs ?? Number.POSITIVE_INFINITY) - elapsedMs;
  const deadlineMs = call.deadlineMs ?? Number.POSITIVE_INFINITY;
  const latestInTimeMs = Math.min(objectiveAtMs, deadlineMs) - SHORT_WORK * (workMs ?? 0);
  const holdFraction = elapsedMs > 0 ? MAX_HOLD_FRACTION_OF_RETURNED : MAX_HOLD_FRACTION;
  const holdUntilMs = nowMs + holdFraction * (deadlineMs - nowMs);
  return {
    priority: call.priority ?? 0,
    workMs,
    enteredAtMs: nowMs,
    objectiveAtMs,
    deadlineMs,
    latestInTimeMs,
    isPlain: false,
    giveUpAtMs: Math.min(deadlineMs - (workMs ?? 0), Math.max(latestInTimeMs, holdUntilMs)),
  };
}

/**
 * Fraction of the time until the objective for which a call of a service with one priority is held
 * while each server would make it late. Its caller still has time to be served by another daemon.
 */
const PLAIN_HOLD_FRACTION = 1 / 8;

/** Returns the limits in time of a call that enters now, on a service with one priority. */
export function plainTermsOf(
  call: schedulingTypes.ScheduledCall,
  workMs: number | undefined,
  nowMs: number,
): schedulingTypes.ICallTerms {
  const terms = termsOf(call, workMs, nowMs);
  const holdMs = PLAIN_HOLD_FRACTION * (terms.objectiveAtMs - nowMs);
  return { ...terms, isPlain: true, giveUpAtMs: nowMs + holdMs };
}

/** Returns what an answer would be worth if an attempt started now on an idle server. */
export function standingOf(
  terms: schedulingTypes.ICallTerms,
  nowMs: number,
): schedulingTypes.Standing {
  if (nowMs <= terms.latestInTimeMs) return 'in-time';
  return nowMs + (terms.workMs ?? 0) <= terms.deadlineMs ? 'late' : 'lost';
}
