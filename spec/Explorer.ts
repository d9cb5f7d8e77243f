import type * as specTypes from './Types';

const MAX_STATES = 2_000_000;

/** Returns the events that lead from the initial state to `found`. */
export function traceTo<TState, TEvent>(found: specTypes.IFoundState<TState, TEvent>): TEvent[] {
  const events: TEvent[] = [];
  let current: specTypes.IFoundState<TState, TEvent> | undefined = found;
  while (current?.event !== undefined) {
    events.push(current.event);
    current = current.parent;
  }
  return events.reverse();
}

/**
 * Visits the reachable states breadth-first, at most `maxStates`, and checks the invariants on each
 * step. Stops at the first violation. The breadth-first order makes its trace a shortest one.
 */
export function explore<TState, TEvent extends specTypes.ISpecificationEvent>(
  specification: specTypes.ISpecification<TState, TEvent>,
  maxStates = MAX_STATES,
): specTypes.IExploration<TState, TEvent> {
  const { initial } = specification;
  const start = { state: initial, depth: 0, parent: undefined, event: undefined };
  const found = new Map<string, specTypes.IFoundState<TState, TEvent>>();
  found.set(JSON.stringify(initial), start);
  const queue: specTypes.IFoundState<TState, TEvent>[] = [start];
  let steps = 0;
  let depth = 0;
  const result = (violation?: specTypes.IViolation<TEvent>, truncated = false) => ({
    states: found.size,
    steps,
    depth,
    truncated,
    violation,
    found,
  });
  for (let index = 0; index < queue.length; index += 1) {
    const current = queue[index] as specTypes.IFoundState<TState, TEvent>;
    const events = specification.enabledEvents(current.state);
    for (let eventIndex = 0; eventIndex < events.length; eventIndex += 1) {
      const event = events[eventIndex] as TEvent;
      const state = specification.next(current.state, event);
      steps += 1;
      const violated = specification.invariants.find((rule) => !rule.holds(current.state, state));
      if (violated !== undefined) {
        const trace = [...traceTo(current), event];
        return result({ invariant: violated.name, events: trace, lastState: state });
      }
      const text = JSON.stringify(state);
      if (!found.has(text)) {
        if (found.size >= maxStates) return result(undefined, true);
        const next = { state, depth: current.depth + 1, parent: current, event };
        depth = next.depth;
        found.set(text, next);
        queue.push(next);
      }
    }
  }
  return result();
}
