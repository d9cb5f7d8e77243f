import type * as callTypes from '../../common/call/Types';
import type * as serverTypes from './Types';

/** HTTP status of each kind of refusal. */
export const STATUSES: Record<callTypes.NotRunKind | callTypes.UnknownOutcomeKind, number> = {
  'unknown-service': 404,
  'malformed-request': 400,
  'request-incomplete': 408,
  'headers-too-large': 431,
  'body-too-large': 413,
  'invalid-deadline': 400,
  'request-key-missing': 428,
  'request-key-invalid': 422,
  'request-key-reused': 422,
  'call-too-deep': 508,
  'not-ready': 503,
  'shutting-down': 503,
  overloaded: 503,
  'no-backend-server': 503,
  'backend-server-refused': 503,
  'deadline-before-dispatch': 504,
  'already-refused': 409,
  'deadline-exceeded': 504,
  'connection-lost': 502,
  'answer-truncated': 502,
  'answer-too-large': 502,
  'attempt-in-progress': 409,
  'earlier-outcome-unknown': 409,
  'request-key-expired': 410,
  'key-issuer-unavailable': 503,
  'suspected-crash': 503,
  'cancelled-by-caller': 499,
};

/** Body of a refusal: problem details (RFC 9457) with extension members. */
export interface IProblem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly kind: serverTypes.IRefusalRecord['kind'];
  readonly outcome: 'not-run' | 'unknown';
  readonly dispatched: boolean;
  readonly requestId: string;
  /** Version of the table that the call used, or 0 if there was none. */
  readonly tableVersion: number;
}

/** Converts a refusal to problem details. */
export function toProblem(record: serverTypes.IRefusalRecord): IProblem {
  return {
    type: `urn:lavenderspar:refusal:${record.kind}`,
    title: record.kind.replaceAll('-', ' '),
    status: STATUSES[record.kind],
    detail: record.detail,
    kind: record.kind,
    outcome: record.outcome,
    dispatched: record.dispatched,
    requestId: record.requestId,
    tableVersion: record.tableVersion,
  };
}
