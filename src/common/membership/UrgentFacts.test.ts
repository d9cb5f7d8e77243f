import * as manualClock from '../ManualClock';
import * as factStore from './FactStore';
import * as urgentFacts from './UrgentFacts';

let urgent: urgentFacts.UrgentFacts;

beforeEach(() => {
  const facts = new factStore.FactStore('10.0.0.1:1', new manualClock.ManualClock(), 1);
  urgent = new urgentFacts.UrgentFacts(facts);
  facts.onAdded(({ key }) => urgent.add(key));
  ['a', 'ab', 'abc'].forEach((details) =>
    facts.record({
      ...{ kind: 'suspect-request', subject: details, lifetimeMs: 60_000 },
      details: [...details],
    }),
  );
});

function subjects(facts: readonly urgentFacts.IUrgentFact[]): string[] {
  return facts.map(({ fact }) => fact.subject);
}

test('all facts fit into a large message, those with most details first', () => {
  expect(subjects(urgent.select(1_500))).toEqual(['abc', 'ab', 'a']);
});

// Guards against a request that goes on crashing servers while the budget is spent.
test('facts with several details wait for the budget', () => {
  urgent.remove([]);
  expect(subjects(urgent.select(1_500))).toEqual(['abc', 'ab']);
});

test('the first fact is sent even if it does not fit', () => {
  const selected = urgent.select(0);
  expect(subjects(selected)).toEqual(['abc']);
  urgent.remove(selected);
  expect(subjects(urgent.select(1_500))).toEqual(['ab']);
});

test('nothing is left once all were sent', () => {
  urgent.remove(urgent.select(1_500));
  expect(urgent.isEmpty).toBe(true);
});
