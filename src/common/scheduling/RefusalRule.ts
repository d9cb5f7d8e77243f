import type * as types from '../Types';
import * as callTerms from './CallTerms';
import type * as schedulingTypes from './Types';
import type * as turnRate from './TurnRate';
import type * as waitingCalls from './WaitingCalls';

/** Shortest delay after which a caller returns, in milliseconds. */
const MIN_RETRY_AFTER_MS = 50;

/** Fraction of its remaining time after which a caller returns at the latest. */
const MAX_RETRY_FRACTION = 1 / 4;

/** Bounds of the delay relative to the wait that is expected here. */
const SPREAD = { lowest: 0.5, width: 1 };

/** Decides which calls are refused, why, and when their callers may return. */
export class RefusalRule {
  public constructor(
    private readonly rate: turnRate.TurnRate,
    private readonly random: types.IRandom,
  ) {}

  /** Returns why a call is refused, or undefined if it goes on waiting. */
  public causeOf(
    { terms }: waitingCalls.IWaitingCall,
    callsBefore: number,
    nowMs: number,
  ): schedulingTypes.RefusalCause | undefined {
    if (callTerms.standingOf(terms, nowMs) === 'lost') return 'no-time';
    if (nowMs >= terms.giveUpAtMs) return 'no-room';
    if (terms.isPlain) return undefined;
    // The first call always waits, so that the rate is observed again after an overload.
    const expectedMs = callsBefore * this.rate.intervalMs;
    return nowMs + expectedMs > terms.giveUpAtMs ? 'outranked' : undefined;
  }

  /**
   * Returns the delay after which the caller should return, in milliseconds: as long as the calls that
   * wait now need, or as this one has waited in vain, but early enough to be served then. Random,
   * since callers that were refused together would otherwise return together.
   */
  public retryAfterMs(
    { terms }: waitingCalls.IWaitingCall,
    waiting: number,
    nowMs: number,
  ): number {
    const remainingMs = Math.max(0, terms.deadlineMs - nowMs - (terms.workMs ?? 0));
    const latestMs = MAX_RETRY_FRACTION * remainingMs;
    const waitedMs = nowMs - terms.enteredAtMs;
    const expectedMs = Math.max(MIN_RETRY_AFTER_MS, waiting * this.rate.intervalMs, waitedMs);
    const spread = SPREAD.lowest + SPREAD.width * this.random.next();
    return spread * Math.min(expectedMs, latestMs / (SPREAD.lowest + SPREAD.width));
  }
}
