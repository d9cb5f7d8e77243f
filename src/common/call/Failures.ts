import type * as policyTypes from '../policy/Types';
import type * as callTypes from './Types';

const RETRYABLE_STATUSES = new Set([502, 503, 504]);

/** Header that marks the response of a daemon. */
const REQUEST_OUTCOME = 'request-outcome';

function hasHeader(answer: callTypes.IAnswer, name: string): boolean {
  return answer.headers.some((header, index) => index % 2 === 0 && header === name);
}

/**
 * Whether an answer is a failure of the server that sent it. A failure that passed through a
 * daemon occurred deeper in the call tree, where it was retried if at all.
 */
export function isLocalFailure(answer: callTypes.IAnswer): boolean {
  const { isFailure = RETRYABLE_STATUSES.has(answer.status) } = answer;
  return isFailure && !hasHeader(answer, REQUEST_OUTCOME);
}

/** Converts the outcome of an attempt to the result that server selection uses. */
export function toAttemptResult(outcome: callTypes.AttemptOutcome): policyTypes.AttemptResult {
  switch (outcome.kind) {
    case 'answered':
      return isLocalFailure(outcome.answer) ? 'failed' : 'answered';
    case 'refused':
      return 'refused';
    case 'not-sent':
      return outcome.reason === 'unwanted' ? 'cancelled' : 'failed';
    default:
      return 'failed';
  }
}

function toUnknownKind(
  reason: Extract<callTypes.AttemptOutcome, { kind: 'lost' }>['reason'],
): callTypes.UnknownOutcomeKind {
  if (reason === 'silent') return 'connection-lost';
  if (reason === 'answer-unframed' || reason === 'answer-invalid') return 'answer-truncated';
  return reason;
}

/** Collects the failures of a call, and derives its outcome if no further attempt succeeds. */
export class Failures {
  private refused = false;

  private notSentDetail: string | undefined;

  private failedAnswer: { answer: callTypes.IAnswer; server: string } | undefined;

  private unknown: { reason: callTypes.UnknownOutcomeKind; detail: string } | undefined;

  public recordRefused(): void {
    this.refused = true;
  }

  public recordNotSent(detail: string): void {
    this.notSentDetail = detail;
  }

  public recordFailedAnswer(answer: callTypes.IAnswer, server: string): void {
    this.failedAnswer = { answer, server };
  }

  public recordLost(outcome: Extract<callTypes.AttemptOutcome, { kind: 'lost' }>): void {
    this.unknown = { reason: toUnknownKind(outcome.reason), detail: outcome.detail };
  }

  public recordTimeout(): void {
    this.unknown = { reason: 'deadline-exceeded', detail: 'no answer came before the deadline' };
  }

  /** Returns the outcome of the call if no further attempt is made. */
  public toOutcome(): callTypes.CallOutcome {
    if (this.failedAnswer !== undefined) return { kind: 'answered', ...this.failedAnswer };
    if (this.unknown !== undefined) return { kind: 'unknown', ...this.unknown, dispatched: true };
    if (this.refused) {
      const detail = 'the backend servers refused the request without running it';
      return { kind: 'not-run', reason: 'backend-server-refused', detail };
    }
    const detail = this.notSentDetail ?? 'no backend server of the service may be used now';
    return { kind: 'not-run', reason: 'no-backend-server', detail };
  }

  /** Returns the outcome of a call whose deadline has passed, which is never an answer. */
  public toOutcomeAtDeadline(): callTypes.CallOutcome {
    if (this.unknown !== undefined || this.failedAnswer !== undefined) {
      const detail = this.unknown?.detail ?? 'the deadline passed';
      return { kind: 'unknown', reason: 'deadline-exceeded', detail, dispatched: true };
    }
    const detail = 'the deadline passed before the request was sent';
    return { kind: 'not-run', reason: 'deadline-before-dispatch', detail };
  }
}
