import * as dispatchCost from '../policy/DispatchCost';
import type * as serverState from '../policy/ServerState';
import type * as schedulingTypes from './Types';

/** Server to which a call may be dispatched. */
export interface IServerChoice {
  readonly server: serverState.ServerState;
  /** Undefined if the server has not replied yet. */
  readonly reply: schedulingTypes.Reply;
  /** Expected duration relative to that on an idle server. */
  readonly cost: number;
  /** Whether nothing is known by which the room on the server could be judged. */
  readonly isUnjudged?: boolean | undefined;
}

export function choiceOf(
  server: serverState.ServerState,
  reply: schedulingTypes.Reply,
): IServerChoice {
  return { server, reply, cost: dispatchCost.costOf(server, reply) };
}

/** Returns the servers that accept work, those with the lowest cost first. */
export function byCost(checked: schedulingTypes.CheckedServers): readonly IServerChoice[] {
  return [...checked]
    .map(([server, reply]) => choiceOf(server, reply))
    .filter(({ cost }) => Number.isFinite(cost))
    .sort((left, right) => left.cost - right.cost);
}

export function toSelected(
  server: serverState.ServerState,
  reply: schedulingTypes.Reply,
): schedulingTypes.SelectionResult {
  return { kind: 'server', server, cost: dispatchCost.costOf(server, reply) };
}
