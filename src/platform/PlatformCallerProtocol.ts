import * as crypto from 'node:crypto';
import type * as http from 'node:http';

import type * as callTypes from '../common/call/Types';
import type * as tableTypes from '../common/table/Types';
import * as headers from '../node/dispatch/Headers';
import * as callerProtocol from '../node/server/CallerProtocol';
import * as requestHead from '../node/server/RequestHead';
import type * as serverTypes from '../node/server/Types';
import * as wireNames from './WireNames';

/** Deadline of a request that states none, in milliseconds. The route's timeout also applies. */
export const DEFAULT_DEADLINE_MS = 600_000;

/** Bytes of the separator and the line break in a header line. */
const HEADER_OVERHEAD_BYTES = 4;

/** Retry delay of a refused request, in seconds. The retry reaches another daemon. */
const RETRY_AFTER_S = 0.01;

/** Retry delay in seconds if every server is overloaded: a slot becomes free within tens of ms. */
const RETRY_AFTER_OVERLOAD_S = 0.05;

const MS_PER_S = 1_000;

const STATUS_UNAVAILABLE = 503;
const STATUS_BAD_GATEWAY = 502;
const STATUS_GATEWAY_TIMEOUT = 504;

/** Statuses of refusals that every other daemon would repeat. All other refusals are 503. */
const REFUSAL_STATUSES: Partial<Record<callTypes.NotRunKind, number>> = {
  'unknown-service': 404,
  'malformed-request': 400,
  'request-incomplete': 408,
  'invalid-deadline': 400,
  'headers-too-large': 431,
  'body-too-large': 413,
};

/** Headers that the daemon itself sets in requests to backend servers. */
const DAEMON_REQUEST_HEADERS = new Set([wireNames.REQUEST_DEADLINE, wireNames.EXPECTED_INSTANCE]);

function readDeadline(list: readonly string[]): number | undefined {
  const text = headers.find(list, wireNames.REQUEST_DEADLINE);
  if (text === undefined) return DEFAULT_DEADLINE_MS;
  const deadlineMs = Number(text);
  return deadlineMs > 0 ? deadlineMs : undefined;
}

function headerBytes(list: readonly string[]): number {
  return list.reduce((sum, text) => sum + text.length, (list.length / 2) * HEADER_OVERHEAD_BYTES);
}

/** Returns the retry delay of a refused request, in seconds. */
function retryAfterOf({ kind, retryAfterMs }: serverTypes.IRefusalRecord): number {
  if (retryAfterMs !== undefined) return Math.ceil(retryAfterMs) / MS_PER_S;
  return kind === 'overloaded' ? RETRY_AFTER_OVERLOAD_S : RETRY_AFTER_S;
}

function statusOf(record: serverTypes.IRefusalRecord): number {
  if (record.outcome === 'not-run') {
    return REFUSAL_STATUSES[record.kind as callTypes.NotRunKind] ?? STATUS_UNAVAILABLE;
  }
  return record.kind === 'deadline-exceeded' ? STATUS_GATEWAY_TIMEOUT : STATUS_BAD_GATEWAY;
}

/**
 * Implements the platform's HTTP protocol between callers and daemons: routes by host and path, and
 * statuses that mean "not run".
 */
export class PlatformCallerProtocol extends callerProtocol.CallerProtocol {
  public requestIdOf(request: http.IncomingMessage): string {
    const id = request.headers[wireNames.REQUEST_ID];
    return typeof id === 'string' && id !== '' ? id : crypto.randomUUID();
  }

  public readHead(
    request: http.IncomingMessage,
    table: tableTypes.ITable,
  ): requestHead.IRequestHead | serverTypes.NotRun {
    const list = headers.lowerCaseNames(request.rawHeaders);
    const { routes } = table;
    const path = request.url ?? '/';
    const host = headers.find(list, 'host') ?? '';
    if (routes === undefined) return requestHead.notRun('not-ready', 'no configuration is known');
    if (headerBytes(list) > routes.limits.maxHeaderBytes) {
      const detail = `the headers exceed ${routes.limits.maxHeaderBytes} bytes`;
      return requestHead.notRun('headers-too-large', detail);
    }
    const deadlineMs = readDeadline(list);
    if (deadlineMs === undefined) {
      const detail = `${wireNames.REQUEST_DEADLINE} must be a positive number of milliseconds`;
      return requestHead.notRun('invalid-deadline', detail);
    }
    const match = routes.match(host, path.split('?', 1)[0] ?? path);
    if (match === undefined) {
      return requestHead.notRun('unknown-service', 'no route applies to the host and the path');
    }
    return {
      service: match.service,
      path,
      timeoutMs: Math.min(deadlineMs, match.route.timeoutMs),
      depth: 0,
      retriesSpent: 0,
      requestKey: undefined,
      route: match.route.name,
      objectiveMs: match.route.objectiveMs,
      priority: match.route.priority,
      hasLargeAnswer: match.route.hasLargeAnswers,
      maxAttempts: match.route.maxAttempts,
      headers: ['host', host, ...headers.withoutHopByHop(list, DAEMON_REQUEST_HEADERS)],
    };
  }

  public serviceOf(): string {
    return '';
  }

  public findKey(): undefined {
    return undefined;
  }

  public forwardedResponseHeaders(answer: callTypes.IAnswer): string[] {
    return headers.withoutHopByHop(answer.headers);
  }

  public addedHeaders(): string[] {
    return [];
  }

  public toLocalReply(record: serverTypes.IRefusalRecord): callerProtocol.ILocalReply {
    const status = statusOf(record);
    const list = ['content-type', 'application/json', wireNames.REQUEST_ID, record.requestId];
    const { kind, outcome, detail } = record;
    if (status === STATUS_UNAVAILABLE) {
      list.push(wireNames.RETRY_AFTER, `${retryAfterOf(record)}`);
    }
    return { status, headers: list, body: JSON.stringify({ kind, outcome, detail }) };
  }
}
