import type * as policyTypes from '../../common/policy/Types';

/** Names of the headers that the product reads and writes, in lower case. */
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

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
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

const LOAD_METRICS_FORMAT = /^TEXT\s+(.*)$/;

export function isHopByHop(name: string): boolean {
  return HOP_BY_HOP.has(name);
}

/** Returns the value of the first header of that name in a flat list of names and values. */
export function find(headers: readonly string[], name: string): string | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index] === name) return headers[index + 1];
  }
  return undefined;
}

/** Reads a load report in ORCA text format, or returns undefined if there is none. */
export function readLoadReport(
  metrics: string | undefined,
  state: string | undefined,
): policyTypes.ILoadReport | undefined {
  const draining = state === 'draining';
  const text = LOAD_METRICS_FORMAT.exec(metrics ?? '')?.[1];
  if (text === undefined) return draining ? { inFlight: 0, queued: 0, draining } : undefined;
  const values = new Map(
    text.split(',').map((pair): [string, number] => {
      const [name = '', value = ''] = pair.trim().split('=');
      return [name, Number(value)];
    }),
  );
  const inFlight = values.get('named_metrics.in_flight');
  const queued = values.get('named_metrics.queued') ?? 0;
  if (inFlight === undefined || !(inFlight >= 0) || !(queued >= 0)) return undefined;
  return { inFlight, queued, draining };
}
