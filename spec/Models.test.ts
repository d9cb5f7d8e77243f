import * as explorer from './Explorer';
import * as models from './Models';
import * as tableSpecification from './TableSpecification';

// Guards against an explorer that misses states, and with them violations.
test.each(models.MODELS)('both explorers agree on $name within small bounds', (model) => {
  const result = model.compareExplorers();
  expect(result.graph).toEqual({
    states: result.explorer.states,
    steps: result.explorer.steps,
    broken: [],
  });
  expect(result.explorer.violation).toBeUndefined();
});

const MUTANTS = models.MODELS.flatMap((model) =>
  Object.keys(model.mutants).map((name) => ({ name, model })),
);

// Guards against a rule that no invariant covers.
test.each(MUTANTS)('mutant $name violates an invariant', ({ name, model }) => {
  const violation = model.exploreSmall(name).violation ?? model.explore(name).violation;
  expect(violation).toBeDefined();
});

function readyVersion(state: tableSpecification.ITableState): number {
  return Math.max(
    0,
    ...state.daemons.map(({ ready, active }) => (ready ? (active?.version ?? 0) : 0)),
  );
}

// Documents a limit of the design: no process keeps a version beyond its lifetime, so a version is
// lost when every process that has it is replaced while the configuration service is stale.
test('the highest version of the fleet can decrease, but only after a replacement', () => {
  const bounds = { daemons: 2, maxVersion: 2, maxReplacements: 1 };
  const inner = new tableSpecification.TableSpecification(undefined, bounds);
  interface IHistory {
    readonly state: tableSpecification.ITableState;
    readonly highest: number;
  }
  const { violation } = explorer.explore<IHistory, tableSpecification.TableEvent>({
    name: 'highest version of the fleet',
    initial: { state: inner.initial, highest: 0 },
    invariants: [
      {
        name: 'does not decrease',
        holds: (_before, { state, highest }) =>
          state.daemons.some(({ ready }) => !ready) || readyVersion(state) >= highest,
      },
    ],
    enabledEvents: ({ state }) => inner.enabledEvents(state),
    next: ({ state, highest }, event) => {
      const next = inner.next(state, event);
      return { state: next, highest: Math.max(highest, readyVersion(next)) };
    },
  });
  const replaced = violation?.events.filter(({ type }) => type === 'replace');
  expect(replaced).toHaveLength(1);
});
