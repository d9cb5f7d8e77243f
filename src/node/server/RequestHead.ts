import type * as http from 'node:http';

import type * as callTypes from '../../common/call/Types';
import * as requestKeyCodec from '../../common/keys/RequestKeyCodec';
import type * as tableTypes from '../../common/table/Types';
import * as headers from '../dispatch/Headers';
import type * as serverTypes from './Types';

const MAX_TIMEOUT_MS = 600_000;

/** Maximum number of daemons that a call may have passed through before. Ends forwarding loops. */
const MAX_DEPTH = 16;

/** Maximum length of a caller's text that is quoted in an error message. */
const MAX_QUOTED_LENGTH = 80;

/** Headers that must not be repeated, and the refusal of a request that repeats one. */
const SINGLE_HEADERS: readonly [string, callTypes.NotRunKind][] = [
  ['host', 'malformed-request'],
  [headers.REQUEST_KEY, 'request-key-invalid'],
  [headers.REQUEST_TIMEOUT_MS, 'invalid-deadline'],
  [headers.CALL_DEPTH, 'malformed-request'],
  [headers.RETRIES_SPENT, 'malformed-request'],
];

/** Parsed request line and headers. */
export interface IRequestHead {
  readonly service: tableTypes.IServiceRow;
  /** Path and query for the backend server, as received. */
  readonly path: string;
  readonly timeoutMs: number;
  readonly depth: number;
  readonly retriesSpent: number;
  readonly requestKey: string | undefined;
  /** Name of the route, if the request has one. */
  readonly route?: string | undefined;
  /** Latency objective in milliseconds, if the route states one. */
  readonly objectiveMs?: number | undefined;
  /** Rank among the requests of the service: the lower, the more urgent. Absent: the most urgent. */
  readonly priority?: number | undefined;
  /** Whether the route states that answers are large. */
  readonly hasLargeAnswer?: boolean | undefined;
  /** Maximum number of servers that the call may be sent to, if the operators limit it. */
  readonly maxAttempts?: number | undefined;
  /** Headers for the backend server. */
  readonly headers: readonly string[];
}

/** Returns a refusal of a request that was certainly not run. */
export function notRun(reason: callTypes.NotRunKind, detail: string): serverTypes.NotRun {
  return { kind: 'not-run', reason, detail };
}

function quote(text: string): string {
  return JSON.stringify(text.slice(0, MAX_QUOTED_LENGTH));
}

/** Splits a request target into the service name and the rest, without decoding it. */
export function splitTarget(target: string): { service: string; path: string } | undefined {
  const relative = target.replace(/^https?:\/\/[^/?#]*/i, '');
  const match = /^\/([^/?#]*)(.*)$/s.exec(relative);
  if (match === null) return undefined;
  const [, service = '', rest = ''] = match;
  return { service, path: rest.startsWith('/') ? rest : `/${rest}` };
}

function readInteger(list: readonly string[], name: string): number | undefined {
  const text = headers.find(list, name);
  if (text === undefined) return 0;
  return /^\d{1,6}$/.test(text) ? Number(text) : undefined;
}

function readTimeout(list: readonly string[], defaultMs: number): number | undefined {
  const text = headers.find(list, headers.REQUEST_TIMEOUT_MS);
  if (text === undefined) return defaultMs;
  const timeoutMs = /^\d{1,6}$/.test(text) ? Number(text) : 0;
  return timeoutMs >= 1 && timeoutMs <= MAX_TIMEOUT_MS ? timeoutMs : undefined;
}

function refuseRepeated(list: readonly string[]): serverTypes.NotRun | undefined {
  const repeated = SINGLE_HEADERS.find(([name]) => headers.isRepeated(list, name));
  if (repeated === undefined) return undefined;
  return notRun(repeated[1], `the header ${repeated[0]} occurs more than once`);
}

function validateHeaders(
  request: http.IncomingMessage,
  list: readonly string[],
): serverTypes.NotRun | undefined {
  const repeated = refuseRepeated(list);
  if (repeated !== undefined) return repeated;
  if (request.httpVersion === '1.1' && headers.find(list, 'host') === undefined) {
    return notRun('malformed-request', 'the header host is missing');
  }
  const expectation = headers.find(list, 'expect');
  if (expectation !== undefined && expectation.toLowerCase() !== '100-continue') {
    return notRun('malformed-request', `the expectation ${quote(expectation)} cannot be met`);
  }
  return undefined;
}

function readCallHeaders(
  list: readonly string[],
  service: tableTypes.IServiceRow,
): { timeoutMs: number; depth: number; retriesSpent: number } | serverTypes.NotRun {
  const timeoutMs = readTimeout(list, service.deadlineMs);
  if (timeoutMs === undefined) {
    const detail = `${headers.REQUEST_TIMEOUT_MS} must be an integer from 1 to ${MAX_TIMEOUT_MS}`;
    return notRun('invalid-deadline', detail);
  }
  const depth = readInteger(list, headers.CALL_DEPTH);
  const retriesSpent = readInteger(list, headers.RETRIES_SPENT);
  if (depth === undefined || retriesSpent === undefined) {
    const name = depth === undefined ? headers.CALL_DEPTH : headers.RETRIES_SPENT;
    return notRun('malformed-request', `${name} must be an integer from 0`);
  }
  if (depth > MAX_DEPTH) {
    return notRun('call-too-deep', `the call depth ${depth} is above ${MAX_DEPTH}`);
  }
  return { timeoutMs, depth, retriesSpent };
}

/** Parses the request line and the headers, and validates them against the table. */
export function readHead(
  request: http.IncomingMessage,
  table: tableTypes.ITable,
): IRequestHead | serverTypes.NotRun {
  const list = headers.lowerCaseNames(request.rawHeaders);
  const target = splitTarget(request.url ?? '');
  const refusal = validateHeaders(request, list);
  if (refusal !== undefined) return refusal;
  if (target === undefined) {
    return notRun('malformed-request', `the target ${quote(request.url ?? '')} is no path`);
  }
  const service = table.services.get(target.service);
  if (service === undefined) {
    return notRun('unknown-service', `the table names no service ${quote(target.service)}`);
  }
  const callHeaders = readCallHeaders(list, service);
  if ('kind' in callHeaders) return callHeaders;
  const requestKey = headers.find(list, headers.REQUEST_KEY);
  if (service.requestKey === 'required' && requestKey === undefined) {
    const detail = `the service needs the header ${headers.REQUEST_KEY} with a key from a daemon`;
    return notRun('request-key-missing', detail);
  }
  const forwarded = headers.forwardedRequestHeaders(list);
  return { service, path: target.path, ...callHeaders, requestKey, headers: forwarded };
}

/** A request key issued by a daemon, and the service that the request is for. */
export interface IKeyUse {
  readonly key: string;
  readonly service: string;
}

/**
 * Returns the request key of a request, or undefined if it has none that a daemon issued. Must be
 * called before every refusal, whatever else is wrong with the request.
 */
export function findKey(
  request: http.IncomingMessage,
  table: tableTypes.ITable | undefined,
): IKeyUse | undefined {
  const keys = headers.findAll(headers.lowerCaseNames(request.rawHeaders), headers.REQUEST_KEY);
  const [key] = keys;
  if (key === undefined || keys.length > 1) return undefined;
  const service = splitTarget(request.url ?? '')?.service ?? '';
  // Callers may use the header for their own purposes if the service requires no key.
  if (table?.services.get(service)?.requestKey === 'none') return undefined;
  return requestKeyCodec.RequestKeyCodec.decode(key).ok ? { key, service } : undefined;
}
