import * as dispatchCost from '../policy/DispatchCost';
import type * as serverState from '../policy/ServerState';
import type * as policyTypes from '../policy/Types';
import * as callTerms from './CallTerms';
import type * as serverChoice from './ServerChoice';
import type * as schedulingTypes from './Types';

/** Slot utilization up to which a further request does not delay the others on a server. */
const UNDELAYED_UTILIZATION = 0.8;

/** Slowdown from which a server counts as slow. */
const SLOW = 1.5;

function isSlow(reply: policyTypes.CheckReply): boolean {
  return 'report' in reply && (reply.report?.slowdown ?? 1) >= SLOW;
}

/**
 * Whether a request would delay no other: work slows down on a server that is almost full, and work
 * that starts on a slow server keeps its slot for several times as long.
 */
function hasSpareRoom(server: serverState.ServerState, reply: policyTypes.CheckReply): boolean {
  const spareSlots = Math.max(1, Math.floor(UNDELAYED_UTILIZATION * server.slots));
  return !isSlow(reply) && dispatchCost.loadOf(server, reply) <= spareSlots;
}

/** Whether half of the time for which a late call is held has passed. */
function isPressed(terms: schedulingTypes.ICallTerms, nowMs: number): boolean {
  const lateSinceMs = Math.max(terms.enteredAtMs, terms.latestInTimeMs);
  return nowMs >= (lateSinceMs + terms.giveUpAtMs) / 2;
}

/** Whether a late call takes the room: spare room, or after a while an idle slow server. */
function takesLate(
  terms: schedulingTypes.ICallTerms,
  server: serverState.ServerState,
  reply: policyTypes.CheckReply,
  nowMs: number,
): boolean {
  if (!isSlow(reply)) return hasSpareRoom(server, reply);
  return isPressed(terms, nowMs) && dispatchCost.loadOf(server, reply) <= 1;
}

/**
 * Whether a call takes the room that a server has. Daemons share no state about the calls that wait
 * elsewhere; the load that servers report stands in for it. Late calls, and less urgent ones, take
 * spare room only, so that the last slots stay free for calls that would lose more (trunk
 * reservation). No call joins the queue of a server: it would wait there behind less urgent ones, and
 * might start while the server is slow.
 * @param mostUrgent Priority value up to which a call may take the last slot of a server.
 */
export function takes(
  terms: schedulingTypes.ICallTerms,
  { server, reply, cost }: serverChoice.IServerChoice,
  mostUrgent: number,
  nowMs: number,
): boolean {
  if (reply === undefined || !Number.isFinite(cost)) return false;
  if (terms.workMs === undefined) {
    return reply.kind === 'ready' && dispatchCost.loadOf(server, reply) <= server.slots;
  }
  const endMs = nowMs + cost * terms.workMs;
  if (terms.isPlain) {
    const isLast = nowMs >= terms.giveUpAtMs && dispatchCost.loadOf(server, reply) <= server.slots;
    return endMs <= terms.objectiveAtMs || isLast;
  }
  if (callTerms.standingOf(terms, nowMs) !== 'in-time') {
    return endMs <= terms.deadlineMs && takesLate(terms, server, reply, nowMs);
  }
  const earliestEndMs = nowMs + callTerms.SHORT_WORK * cost * terms.workMs;
  if (earliestEndMs > terms.objectiveAtMs) return false;
  if (hasSpareRoom(server, reply)) return true;
  return terms.priority <= mostUrgent && dispatchCost.loadOf(server, reply) <= server.slots;
}
