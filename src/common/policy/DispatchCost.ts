import type * as serverState from './ServerState';
import type * as policyTypes from './Types';

/** Slot utilization above which a server may slow down. */
const BUSY_UTILIZATION = 0.8;

/** Expected service time on a nearly full server, relative to an idle one. */
const BUSY_FACTOR = 1.5;

/** Cost factors for a server that is full, reports itself unhealthy, or did not reply. */
const FULL_FACTOR = 20;
const UNHEALTHY_FACTOR = 50;
const SILENT_FACTOR = 200;

/** Cost factor for a server in its slow start, which may still be slow. */
const COLD_FACTOR = 1.2;

/** Weight of the failure rate: a server that fails half of the time costs three times as much. */
const FAILURE_WEIGHT = 4;

/** Returns the number of requests that the server would hold after the dispatch. */
export function loadOf(server: serverState.ServerState, reply: policyTypes.CheckReply): number {
  const report = 'report' in reply ? reply.report : undefined;
  return (report?.inFlight ?? 0) + (report?.queued ?? 0) + server.startedSinceReport + 1;
}

/** Returns the expected duration of a request, relative to that on an idle server. */
export function durationOf(
  server: serverState.ServerState,
  reply: Extract<policyTypes.CheckReply, { readonly report: unknown }>,
): number {
  const load = loadOf(server, reply);
  const busy = load / server.slots > BUSY_UTILIZATION ? BUSY_FACTOR : 1;
  const wait = Math.max(0, load - server.slots) / server.slots;
  const cold = server.warmth < 1 ? COLD_FACTOR : 1;
  return (reply.report?.slowdown ?? 1) * (busy + wait) * cold;
}

/**
 * Returns the cost of a dispatch: the expected duration relative to that on an idle server, and more
 * if the server may fail or refuse the request.
 */
export function costOf(
  server: serverState.ServerState,
  reply: policyTypes.CheckReply | undefined,
): number {
  if (reply === undefined || reply.kind === 'silent') {
    return SILENT_FACTOR * (1 + server.inFlight) * (1 + FAILURE_WEIGHT * server.failureRate);
  }
  if (reply.kind === 'replaced' || reply.kind === 'unreachable') return Number.POSITIVE_INFINITY;
  const condition = { ready: 1, full: FULL_FACTOR, unhealthy: UNHEALTHY_FACTOR }[reply.kind];
  const failures = 1 + FAILURE_WEIGHT * server.failureRate;
  return durationOf(server, reply) * condition * failures;
}
