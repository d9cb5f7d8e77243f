import * as manualClock from '../ManualClock';
import * as subscribers from './Subscribers';
import * as subscriptions from './Subscriptions';

const SOURCES = ['a', 'b', 'c', 'd'];

test('two sources are followed, and asked again only while they are silent', () => {
  const clock = new manualClock.ManualClock();
  const followed = new subscriptions.Subscriptions(clock);
  expect(followed.takeDue(SOURCES)).toEqual(['a', 'b']);
  expect(followed.takeDue(SOURCES)).toEqual([]);
  clock.advance(900);
  followed.recordMessage('a');
  followed.recordMessage('b');
  clock.advance(200);
  expect(followed.takeDue(SOURCES)).toEqual([]);
  clock.advance(900);
  expect(followed.takeDue(SOURCES)).toEqual(['a']);
  followed.recordMessage('a');
  clock.advance(1_900);
  expect(followed.takeDue(SOURCES)).toEqual(['a', 'b']);
});

// Guards against a directory that nobody confirms because the first source has failed.
test('while the confirmation is late, all sources are asked', () => {
  const clock = new manualClock.ManualClock();
  const followed = new subscriptions.Subscriptions(clock);
  followed.takeDue(SOURCES);
  ['a', 'b'].forEach((source) => followed.recordMessage(source));
  clock.advance(500);
  expect(followed.takeDue(SOURCES)).toEqual([]);
  expect(followed.takeDue(SOURCES, true)).toEqual(['a', 'b']);
  expect(followed.takeDue(SOURCES, true)).toEqual([]);
});

// Guards against a follower that waits for a source which is down or knows nothing current.
test('a source that does not answer is replaced, and tried again later', () => {
  const clock = new manualClock.ManualClock();
  const followed = new subscriptions.Subscriptions(clock);
  followed.takeDue(SOURCES);
  followed.recordMessage('b');
  clock.advance(1_000);
  expect(followed.takeDue(SOURCES)).toContain('c');
  expect(followed.follows('a')).toBe(false);
  ['b', 'c'].forEach((source) => followed.recordMessage(source));
  clock.advance(4_000);
  expect(followed.takeDue(SOURCES)).toContain('a');
});

test('a subscriber is notified until it unsubscribes or falls silent', () => {
  const clock = new manualClock.ManualClock();
  const notified = new subscribers.Subscribers(clock);
  ['a', 'b', 'c'].forEach((address) => notified.update(address, 'all'));
  notified.update('b', 'none');
  clock.advance(7_000);
  notified.update('c', 'all');
  expect(notified.addresses).toEqual(['a', 'c']);
  clock.advance(1_000);
  expect(notified.addresses).toEqual(['c']);
});

test('a subscriber that wants changes alone gets no confirmations', () => {
  const notified = new subscribers.Subscribers(new manualClock.ManualClock());
  notified.update('a', 'all');
  notified.update('b', 'changes');
  expect(notified.addresses).toEqual(['a', 'b']);
  expect(notified.confirmedAddresses).toEqual(['a']);
  notified.update('a', 'changes');
  expect(notified.confirmedAddresses).toEqual([]);
});

// Guards against one daemon that notifies the whole fleet while the member lists are incomplete.
test('the number of subscribers is limited', () => {
  const notified = new subscribers.Subscribers(new manualClock.ManualClock());
  for (let index = 0; index < 500; index += 1) notified.update(`${index}`, 'all');
  expect(notified.addresses).toHaveLength(64);
});
