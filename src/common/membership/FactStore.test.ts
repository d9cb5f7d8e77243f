import * as manualClock from '../ManualClock';
import * as factStore from './FactStore';
import type * as membershipTypes from './Types';

const SERVER = '10.0.9.1:8080';

function fact(change: Partial<membershipTypes.IFact> = {}): membershipTypes.IFact {
  const base = { kind: 'draining', subject: SERVER, origin: 'peer', sequence: 1 } as const;
  return { ...base, ageMs: 0, lifetimeMs: 60_000, details: [], ...change };
}

function setUp() {
  const clock = new manualClock.ManualClock();
  const store = new factStore.FactStore('own', clock, 100);
  const added: membershipTypes.INewFact[] = [];
  store.onAdded((event) => added.push(event));
  return { clock, store, added };
}

test('a fact expires when its age, including time at earlier daemons, reaches its lifetime', () => {
  const { clock, store } = setUp();
  store.merge(fact({ ageMs: 50_000 }));
  clock.advance(9_999);
  expect(store.about('draining', SERVER)).toMatchObject([{ ageMs: 59_999 }]);
  clock.advance(1);
  expect(store.facts).toEqual([]);
});

test('a younger copy of an expired fact does not restore it', () => {
  const { clock, store, added } = setUp();
  store.merge(fact());
  clock.advance(60_500);
  store.merge(fact({ ageMs: 59_000 }));
  expect(store.facts).toEqual([]);
  expect(added).toHaveLength(1);
});

test('the highest sequence of an origin is kept, along with facts of other origins', () => {
  const { store, added } = setUp();
  store.merge(fact({ sequence: 5, details: ['new'] }));
  store.merge(fact({ sequence: 4, details: ['old'] }));
  store.merge(fact({ sequence: 5, details: ['copy'] }));
  store.merge(fact({ origin: 'other' }));
  expect(store.about('draining', SERVER).map(({ details }) => details)).toEqual([['new'], []]);
  expect(added.map(({ isNews }) => isNews)).toEqual([true, false]);
});

test('an observation is not recorded again in the first half of its lifetime', () => {
  const { clock, store, added } = setUp();
  const observation = {
    kind: 'draining',
    subject: SERVER,
    lifetimeMs: 60_000,
    details: [],
  } as const;
  store.merge(fact());
  store.record(observation);
  expect(added).toHaveLength(1);
  clock.advance(30_000);
  store.record(observation);
  store.record({ ...observation, details: ['another server'] });
  expect(added.slice(1).map((event) => event.fact)).toMatchObject([
    { origin: 'own', sequence: 101 },
    { origin: 'own', sequence: 102, details: ['another server'] },
  ]);
});

test('the store holds at most 2,000 facts and evicts the oldest', () => {
  const { store } = setUp();
  const removed: string[] = [];
  store.onRemoved((key) => removed.push(key));
  for (let index = 0; index <= factStore.MAX_FACTS; index += 1) {
    store.merge(fact({ subject: `server-${index}` }));
  }
  expect(store.size).toBe(factStore.MAX_FACTS);
  expect(removed).toEqual(['draining server-0 peer']);
  expect(store.about('draining', 'server-0')).toEqual([]);
});

test('expired facts are removed from memory', () => {
  const { clock, store } = setUp();
  store.merge(fact({ lifetimeMs: 1_000 }));
  clock.advance(11_000);
  store.merge(fact({ subject: 'other' }));
  expect(store.size).toBe(1);
});

test('facts that are too long or already expired are ignored', () => {
  const { store } = setUp();
  store.merge(fact({ subject: 'x'.repeat(factStore.MAX_FACT_BYTES) }));
  store.merge(fact({ ageMs: 60_000 }));
  expect(store.size).toBe(0);
});

test('the lifetime of a received fact is limited to the maximum', () => {
  const { clock, store } = setUp();
  store.merge(fact({ lifetimeMs: 4_000_000_000 }));
  clock.advance(factStore.MAX_LIFETIME_MS);
  expect(store.facts).toEqual([]);
});

test('facts of an earlier process at the same address do not suppress new ones', () => {
  const { store } = setUp();
  store.merge(fact({ origin: 'own', sequence: 900 }));
  store.record({ kind: 'draining', subject: SERVER, lifetimeMs: 60_000, details: ['s'] });
  expect(store.about('draining', SERVER)).toMatchObject([{ sequence: 901 }]);
});
