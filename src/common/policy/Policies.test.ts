import * as seededRandom from '../SeededRandom';
import * as policyFactory from './PolicyFactory';
import * as probingPolicy from './ProbingPolicy';
import type * as selectionPolicy from './SelectionPolicy';
import * as serverState from './ServerState';

function createStates(count: number): readonly serverState.ServerState[] {
  return Array.from({ length: count }, (_item, index) => {
    const state = new serverState.ServerState({
      service: 'status',
      address: `10.0.0.${index}:80`,
      failureDomain: 'a',
      weight: 1,
      slots: 3,
      maxConnections: 200,
    });
    state.recordEnd(state.recordStart(0), 'answered', 10);
    return state;
  });
}

function create(name: string): selectionPolicy.SelectionPolicy {
  return policyFactory.createPolicy(name, new seededRandom.SeededRandom(1));
}

function indexesChosen(name: string, states: readonly serverState.ServerState[], nowMs: number) {
  const policy = create(name);
  const chosen = Array.from({ length: 200 }, () => policy.choose(states, nowMs));
  return new Set(chosen.map((state) => states.findIndex((one) => one === state)));
}

test.each(policyFactory.POLICY_NAMES)(
  '%s selects every server when all have the same state',
  (name) => {
    expect(indexesChosen(name, createStates(4), 50).size).toBe(4);
  },
);

test.each(policyFactory.POLICY_NAMES)('%s chooses the only candidate', (name) => {
  expect([...indexesChosen(name, createStates(1), 50)]).toEqual([0]);
});

test('an unknown policy name throws an error', () => {
  expect(() => create('none')).toThrow('unknown selection policy');
});

test('load-aware avoids a server whose oldest attempt is long overdue', () => {
  const states = createStates(3);
  states[0]?.recordStart(20);
  expect(indexesChosen('load-aware', states, 100)).toEqual(new Set([1, 2]));
});

test('load-aware ignores a load report that never changes', () => {
  const states = createStates(2);
  Array.from({ length: 100 }, (_item, index) => index).forEach((atMs) => {
    states[0]?.recordReport({ inFlight: 0, queued: 0, draining: false }, atMs);
    states[1]?.recordReport({ inFlight: 3, queued: 4, draining: false }, atMs);
  });
  expect(indexesChosen('load-aware', states, 100).size).toBe(2);
});

test('load-aware selects a slow server again after its latency expires', () => {
  const states = createStates(2);
  states[0]?.recordEnd(states[0].recordStart(20), 'cancelled', 120);
  expect(indexesChosen('load-aware', states, 130)).toEqual(new Set([1]));
  expect(indexesChosen('load-aware', states, 20_000).size).toBe(2);
});

test('load-aware probes the server with the oldest report', () => {
  const states = createStates(3);
  const report = { inFlight: 0, queued: 0, draining: false };
  states.forEach((state, index) => state.recordReport(report, index === 1 ? 5 : 50));
  expect(create('load-aware').probeTargets(states, 60)).toEqual([states[1]]);
});

test('probing requests probes of three different servers per call', () => {
  const targets = create('probing').probeTargets(createStates(10), 0);
  expect(new Set(targets).size).toBe(3);
});

test('probing prefers a cold server over a hot one, and discards replies after a second', () => {
  const policy = new probingPolicy.ProbingPolicy(new seededRandom.SeededRandom(1));
  const states = createStates(3);
  states.forEach((state, index) => {
    state.recordReport({ inFlight: index === 0 ? 9 : index, queued: 0, draining: false }, 10);
    policy.recordProbe(state, 10);
  });
  expect(policy.choose(states, 20)).not.toBe(states[0]);
  const later = Array.from({ length: 50 }, () => policy.choose(states, 2_000));
  expect(new Set(later).size).toBe(3);
});
