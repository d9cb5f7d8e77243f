import * as graph from '@xstate/graph';
import * as xstate from 'xstate';

import type * as specTypes from './Types';

/** Result of an exploration with the graph tools of xstate. */
export interface IStateGraph {
  readonly states: number;
  readonly steps: number;
  /** Names of the violated invariants. */
  readonly broken: readonly string[];
}

/**
 * Explores a specification with the graph tools of xstate, to cross-check `Explorer` within small
 * bounds. They visit only about 3,000 states per second.
 */
export function exploreGraph<TState, TEvent extends specTypes.ISpecificationEvent>(
  specification: specTypes.ISpecification<TState, TEvent>,
): IStateGraph {
  const logic = xstate.fromTransition(
    (state: TState, event: TEvent) => specification.next(state, event),
    specification.initial,
  );
  const adjacency = graph.getAdjacencyMap(logic, {
    events: (snapshot) => [...specification.enabledEvents(snapshot.context)],
    serializeState: (snapshot) => JSON.stringify(snapshot.context),
    limit: Number.POSITIVE_INFINITY,
  });
  const nodes = Object.values(adjacency);
  const steps = nodes.flatMap((node) => {
    const transitions: { readonly state: typeof node.state }[] = Object.values(node.transitions);
    return transitions.map(({ state }) => ({ before: node.state.context, after: state.context }));
  });
  const broken = specification.invariants
    .filter((rule) => steps.some(({ before, after }) => !rule.holds(before, after)))
    .map(({ name }) => name);
  return { states: nodes.length, steps: steps.length, broken };
}
