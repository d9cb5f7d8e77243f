import type * as callTypes from '../../common/call/Types';
import type * as tableTypes from '../../common/table/Types';
import type * as peer from '../peer/generated/peer';
import * as sendableAnswers from '../peer/SendableAnswers';
import * as refusals from '../server/Refusals';
import type * as forwardTypes from './Types';

/** Encodes a call, at a monotonic time in milliseconds. */
export function toRequest(call: callTypes.ICall, nowMs: number): peer.ForwardRequest {
  const { objectiveAtMs } = call;
  return {
    requestId: call.requestId,
    service: call.service.name,
    method: call.method,
    path: call.path,
    headers: [...call.headers],
    body: call.body,
    remainingMs: Math.max(1, Math.floor(call.deadlineMs - nowMs)),
    objectiveMs:
      objectiveAtMs === undefined ? undefined : Math.max(0, Math.floor(objectiveAtMs - nowMs)),
    idempotent: call.service.idempotent,
    maxAttempts: call.maxAttempts,
    priority: call.priority,
    retriesSpent: call.retriesSpent,
    configurationVersion: call.configurationVersion,
  };
}

/**
 * Decodes a call that arrived at a monotonic time in milliseconds.
 * @param service The service in the table of this daemon.
 */
export function toCall(
  request: peer.ForwardRequest,
  table: tableTypes.ITable,
  service: tableTypes.IServiceRow,
  nowMs: number,
  fingerprint: () => string,
): callTypes.ICall {
  const { objectiveMs, idempotent } = request;
  return {
    requestId: request.requestId,
    // The route of the daemon that accepted the request decides what may be repeated.
    service: { ...service, idempotent },
    table,
    method: request.method,
    path: request.path,
    headers: request.headers,
    body: request.body,
    deadlineMs: nowMs + request.remainingMs,
    depth: 0,
    retriesSpent: request.retriesSpent,
    objectiveAtMs: objectiveMs === undefined ? undefined : nowMs + objectiveMs,
    maxAttempts: request.maxAttempts,
    priority: request.priority,
    configurationVersion: table.routes?.configurationVersion,
    get fingerprint() {
      return fingerprint();
    },
  };
}

/** Encodes that this daemon did not run a call and that another one may. */
export function toCannotHelp(detail: string): peer.ForwardReply {
  const reason: callTypes.NotRunKind = 'no-backend-server';
  return {
    answered: undefined,
    refused: {
      notRun: true,
      reason,
      detail,
      retryAfterMs: undefined,
      dispatched: false,
      cannotHelp: true,
    },
  };
}

/** Encodes the outcome of a call. */
export function toReply(outcome: callTypes.CallOutcome): peer.ForwardReply {
  if (outcome.kind === 'answered') {
    const { status, headers, body } = outcome.answer;
    const answer = { status, headers: [...headers], body };
    return { answered: { answer, server: outcome.server }, refused: undefined };
  }
  const isNotRun = outcome.kind === 'not-run';
  const retryAfterMs =
    isNotRun && outcome.retryAfterMs !== undefined ? Math.ceil(outcome.retryAfterMs) : undefined;
  return {
    answered: undefined,
    refused: {
      notRun: isNotRun,
      reason: outcome.reason,
      detail: outcome.detail,
      retryAfterMs,
      dispatched: !isNotRun && outcome.dispatched,
      cannotHelp: isNotRun && outcome.reason === 'no-backend-server',
    },
  };
}

/** Returns the reason of a refusal, or `fallback` for one that this version does not know. */
function reasonOf<TKind extends keyof typeof refusals.STATUSES>(
  text: string,
  fallback: TKind,
): TKind {
  return Object.hasOwn(refusals.STATUSES, text) ? (text as TKind) : fallback;
}

/** Decodes a reply. A reply that says neither, or has an unusable answer, is taken as lost. */
export function fromReply({ answered, refused }: peer.ForwardReply): forwardTypes.ForwardResult {
  if (answered?.answer !== undefined) {
    const { answer, server } = answered;
    if (!sendableAnswers.isSendable(answer))
      return { kind: 'lost', detail: 'the answer in the reply is malformed' };
    return { kind: 'outcome', outcome: { kind: 'answered', answer, server } };
  }
  if (refused === undefined) return { kind: 'lost', detail: 'the reply of the peer is empty' };
  const { detail, dispatched, retryAfterMs } = refused;
  if (refused.notRun && refused.cannotHelp) return { kind: 'cannot-help', detail };
  if (refused.notRun) {
    const reason = reasonOf<callTypes.NotRunKind>(refused.reason, 'no-backend-server');
    return { kind: 'outcome', outcome: { kind: 'not-run', reason, detail, retryAfterMs } };
  }
  const reason = reasonOf<callTypes.UnknownOutcomeKind>(refused.reason, 'connection-lost');
  return { kind: 'outcome', outcome: { kind: 'unknown', reason, detail, dispatched } };
}
