import type * as caller from './Caller';

/** Counts from comparing what callers received with what backend servers ran. */
export interface IAudit {
  readonly answered: number;
  readonly refusedNotRun: number;
  readonly outcomeUnknown: number;
  /** Answers that were incomplete, belonged to another request or stated no valid outcome. */
  readonly wrongAnswers: number;
  /** Requests refused as "not run" that a backend server started. */
  readonly falseNotRun: number;
  /** Non-idempotent requests that were started more than once. */
  readonly doubledRuns: number;
}

/** Counts how often each request was started. */
export function countStarts(identities: Iterable<string>): Map<string, number> {
  const starts = new Map<string, number>();
  [...identities].forEach((identity) => starts.set(identity, (starts.get(identity) ?? 0) + 1));
  return starts;
}

/**
 * Compares the outcomes that callers received with the requests that backend servers started.
 * @param isAtMostOnce Returns whether the request with this identity must run at most once.
 */
export function audit(
  submissions: readonly caller.ISubmission[],
  starts: ReadonlyMap<string, number>,
  isAtMostOnce: (identity: string) => boolean,
): IAudit {
  const withOutcome = (outcome: caller.ISubmission['outcome']) =>
    submissions.filter((submission) => submission.outcome === outcome);
  const refused = withOutcome('not-run');
  const doubled = [...starts].filter(([identity, count]) => count > 1 && isAtMostOnce(identity));
  return {
    answered: withOutcome('answered').length,
    refusedNotRun: refused.length,
    outcomeUnknown: withOutcome('unknown').length,
    wrongAnswers: submissions.filter((submission) => !submission.correct).length,
    falseNotRun: refused.filter((submission) => starts.has(submission.identity)).length,
    doubledRuns: doubled.length,
  };
}
