import * as manualClock from '../ManualClock';
import * as memberHistory from './MemberHistory';

const OWN = 'own';
const OTHERS = Array.from({ length: 9 }, (_, index) => `other-${index}`);

let clock: manualClock.ManualClock;
let history: memberHistory.MemberHistory;

beforeEach(() => {
  clock = new manualClock.ManualClock();
  history = new memberHistory.MemberHistory(OWN, clock);
});

function record(seconds: number, daemons: readonly string[], seeds: readonly string[] = []): void {
  for (let second = 0; second < seconds; second += 1) {
    history.record(daemons, seeds);
    clock.advance(1_000);
  }
  history.record(daemons, seeds);
}

// Guards against a division by the few members that are known right after the start.
test('members count as known once hardly any of them is new', () => {
  record(2, OTHERS);
  expect(history.members).toBeUndefined();
  record(1, OTHERS);
  expect(history.members).toHaveLength(10);
  record(1, [...OTHERS, 'new-1']);
  expect(history.members).toHaveLength(11);
  record(1, [...OTHERS, 'new-1', 'new-2', 'new-3', 'new-4']);
  expect(history.members).toBeUndefined();
});

// Guards against shares that grow because a part of the fleet is out of sight.
test('a member that is no longer known counts for a minute', () => {
  record(4, OTHERS);
  record(59, []);
  expect(history.members).toHaveLength(10);
  record(1, []);
  expect(history.members).toEqual([OWN]);
});

// Guards against three parts of a fleet that each divide the whole budget.
test('a part of the fleet with less than half of the seed peers knows too few members', () => {
  record(4, ['other-1'], ['other-1', 'other-2', 'other-3']);
  expect(history.members).toBeUndefined();
  record(4, ['other-1', 'other-2'], ['other-1', 'other-2', 'other-3']);
  expect(history.members).toEqual(['other-1', 'other-2', OWN]);
});

test('a daemon without seed peers is alone, one that finds none of its seed peers is not', () => {
  record(4, []);
  expect(history.members).toEqual([OWN]);
  record(4, [], [OWN]);
  expect(history.members).toEqual([OWN]);
  record(4, [], ['other-1']);
  expect(history.members).toBeUndefined();
});

// Guards against control that takes more than its share of the processor: shares are divided anew
// only for another list.
test('the list is the same object while the members are the same', () => {
  record(4, OTHERS);
  const before = history.members;
  record(1, [...OTHERS].reverse());
  expect(history.members).toBe(before);
});
