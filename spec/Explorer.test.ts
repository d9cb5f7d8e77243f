import * as explorer from './Explorer';
import type * as specTypes from './Types';

interface Counter {
  readonly left: number;
  readonly right: number;
}
type Step = { readonly type: 'left' } | { readonly type: 'right' };

function counters(limit: number): specTypes.ISpecification<Counter, Step> {
  return {
    name: 'counters',
    initial: { left: 0, right: 0 },
    invariants: [{ name: 'sum', holds: (_before, after) => after.left + after.right < limit }],
    enabledEvents: (state) => [
      ...(state.left < 3 ? [{ type: 'left' } as const] : []),
      ...(state.right < 3 ? [{ type: 'right' } as const] : []),
    ],
    next: (state, event) => ({ ...state, [event.type]: state[event.type] + 1 }),
  };
}

test('visits every reachable state once', () => {
  const result = explorer.explore(counters(100));
  expect(result).toMatchObject({ states: 16, steps: 24, depth: 6, truncated: false });
  expect(result.violation).toBeUndefined();
});

test('reports a shortest trace to a violation', () => {
  const { violation } = explorer.explore(counters(4));
  expect(violation?.invariant).toBe('sum');
  expect(violation?.events).toHaveLength(4);
});

// Guards against an incomplete exploration that is taken for a complete one.
test('reports that the exploration stopped at the maximum number of states', () => {
  expect(explorer.explore(counters(100), 5).truncated).toBe(true);
});
