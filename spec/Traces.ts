import type * as types from '../src/common/Types';
import * as explorer from './Explorer';
import type * as specTypes from './Types';

/** Returns a shortest trace to every state of a specification. */
export function tracesToAllStates<TState, TEvent extends specTypes.ISpecificationEvent>(
  specification: specTypes.ISpecification<TState, TEvent>,
): readonly (readonly TEvent[])[] {
  const { found } = explorer.explore(specification);
  return [...found.values()].map((node) => explorer.traceTo(node));
}

/** Returns a random trace of at most `length` events. */
export function randomTrace<TState, TEvent extends specTypes.ISpecificationEvent>(
  specification: specTypes.ISpecification<TState, TEvent>,
  length: number,
  random: types.IRandom,
): readonly TEvent[] {
  const events: TEvent[] = [];
  let state = specification.initial;
  while (events.length < length) {
    const enabled = specification.enabledEvents(state);
    if (enabled.length === 0) return events;
    const event = enabled[random.nextInteger(enabled.length)] as TEvent;
    events.push(event);
    state = specification.next(state, event);
  }
  return events;
}
