import type * as policyTypes from '../../common/policy/Types';

/** Names of the headers that the daemons read and write, in lower case. */
export const REQUEST_TIMEOUT_MS = 'request-timeout-ms';
export const REQUEST_DEADLINE = 'request-deadline';
export const REQUEST_ID = 'request-id';
export const REQUEST_KEY = 'idempotency-key';
export const REQUEST_OUTCOME = 'request-outcome';
export const CALL_DEPTH = 'call-depth';
export const RETRIES_SPENT = 'retries-spent';
export const TRACE_PARENT = 'traceparent';
export const LOAD_METRICS = 'endpoint-load-metrics';
export const BACKEND_STATE = 'backend-state';

const EMPTY_SET: ReadonlySet<string> = new Set();

/** Hop-by-hop headers (RFC 9110, section 7.6.1), and those that each hop sets itself. */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'expect',
]);

/**
 * Headers that only daemons set. They are not forwarded from a caller, who could otherwise send a
 * forged request id, deadline or outcome to a backend server.
 */
const DAEMON_HEADERS = new Set([
  REQUEST_ID,
  REQUEST_TIMEOUT_MS,
  REQUEST_DEADLINE,
  REQUEST_OUTCOME,
  CALL_DEPTH,
  RETRIES_SPENT,
  LOAD_METRICS,
  BACKEND_STATE,
]);

const LOAD_METRICS_FORMAT = /^TEXT\s+(.*)$/;

/** Converts the names in a list of alternating names and values to lower case. */
export function lowerCaseNames(list: readonly string[]): string[] {
  return list.map((text, index) => (index % 2 === 0 ? text.toLowerCase() : text));
}

/** Decodes raw headers into alternating names, in lower case, and values. */
export function decodeRaw(raw: readonly Buffer[]): string[] {
  return lowerCaseNames(raw.map((part) => part.toString('latin1')));
}

/** Returns the values of all headers of that name in a list of alternating names and values. */
export function findAll(list: readonly string[], name: string): string[] {
  return list.filter((_, index) => index % 2 === 1 && list[index - 1] === name);
}

/** Whether a header occurs more than once in a list of alternating names and values. */
export function isRepeated(list: readonly string[], name: string): boolean {
  let count = 0;
  for (let index = 0; index < list.length; index += 2) {
    if (list[index] === name) count += 1;
  }
  return count > 1;
}

/** Returns the hop-by-hop header names that the `connection` headers list. */
function connectionOptions(list: readonly string[]): ReadonlySet<string> {
  const named: string[] = [];
  for (let index = 0; index < list.length; index += 2) {
    const value = list[index + 1] as string;
    // The usual values name no header. Skipping them avoids the cost of a set for each call.
    if (list[index] === 'connection' && value !== 'keep-alive' && value !== 'close') {
      named.push(...value.split(',').map((name) => name.trim().toLowerCase()));
    }
  }
  return named.length === 0 ? EMPTY_SET : new Set(named);
}

/** Removes hop-by-hop headers, and those named in `removed`. */
export function withoutHopByHop(
  list: readonly string[],
  removed: ReadonlySet<string> = EMPTY_SET,
): string[] {
  const options = connectionOptions(list);
  const kept: string[] = [];
  for (let index = 0; index < list.length; index += 2) {
    const name = list[index] as string;
    if (!HOP_BY_HOP.has(name) && !options.has(name) && !removed.has(name)) {
      kept.push(name, list[index + 1] as string);
    }
  }
  return kept;
}

/** Returns the headers of a caller that are forwarded to the backend server. */
export function forwardedRequestHeaders(list: readonly string[]): string[] {
  return withoutHopByHop(list, DAEMON_HEADERS);
}

/** Returns the value of the first header of that name in a list of alternating names and values. */
export function find(headers: readonly string[], name: string): string | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index] === name) return headers[index + 1];
  }
  return undefined;
}

function readMetric(text: string, name: string): number | undefined {
  const pairs = text.split(',');
  for (let index = 0; index < pairs.length; index += 1) {
    const pair = (pairs[index] as string).trim();
    if (pair.startsWith(name) && pair[name.length] === '=') {
      return Number(pair.slice(name.length + 1));
    }
  }
  return undefined;
}

/** Parses a load report in ORCA text format. Returns undefined if it is absent or invalid. */
export function parseLoadReport(
  metrics: string | undefined,
  state: string | undefined,
): policyTypes.ILoadReport | undefined {
  const draining = state === 'draining';
  const text = LOAD_METRICS_FORMAT.exec(metrics ?? '')?.[1];
  if (text === undefined) return draining ? { inFlight: 0, queued: 0, draining } : undefined;
  const inFlight = readMetric(text, 'named_metrics.in_flight');
  const queued = readMetric(text, 'named_metrics.queued') ?? 0;
  if (inFlight === undefined || !(inFlight >= 0) || !(queued >= 0)) return undefined;
  return { inFlight, queued, draining };
}

/** Parses the JSON reply to a probe. Returns undefined if it is invalid. */
export function parseProbeReply(load: unknown): policyTypes.ILoadReport | undefined {
  if (typeof load !== 'object' || load === null) return undefined;
  const { inFlight, queued, state } = load as Record<string, unknown>;
  if (typeof inFlight !== 'number' || typeof queued !== 'number') return undefined;
  if (!(inFlight >= 0) || !(queued >= 0)) return undefined;
  return { inFlight, queued, draining: state === 'draining' };
}
