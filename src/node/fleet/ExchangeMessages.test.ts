import * as peer from '../peer/generated/peer';
import * as exchangeMessages from './ExchangeMessages';

function recordOf(address: string): peer.MemberRecord {
  return {
    ...{ address, incarnation: 1, heartbeat: 1 },
    ...{ failureDomain: 'a', leaving: false, tableVersion: 1 },
  };
}

function messageOf(sender: string, members: readonly string[]): peer.ExchangeRequest {
  return {
    ...{ sender: recordOf(sender), tableVersion: 1, tableHash: '', facts: [], heartbeatIds: [] },
    ...{ heartbeats: [], urgent: false, wantsMembers: false, members: members.map(recordOf) },
  };
}

// Guards against a process that ends because a connection to such an address cannot be created.
test('members whose address cannot be used are left out', () => {
  const members = ['', '\n', 'name', '10.0.0.2', '10.0.0.2:x', '10.0.0.2:1', '[::1]:1'];
  const message = exchangeMessages.fromWire(messageOf('10.0.0.1:1', members));
  expect(message?.members.map(({ address }) => address)).toEqual(['10.0.0.2:1', '[::1]:1']);
});

// Guards against a process that ends when it sends on what it was told.
test.each([
  ['heartbeat', 2 ** 32],
  ['incarnation', Number.MAX_SAFE_INTEGER],
])('a member whose %s cannot be sent on is left out: %i', (name, value) => {
  const message = messageOf('10.0.0.1:1', []);
  const members = [{ ...recordOf('10.0.0.2:1'), [name]: value }, recordOf('10.0.0.3:1')];
  const decoded = exchangeMessages.fromWire({ ...message, members });
  expect(decoded?.members.map(({ address }) => address)).toEqual(['10.0.0.3:1']);
});

// Guards against messages that no peer can decode, since a fact of this daemon has a later sequence.
test('a fact whose sequence cannot be followed by another is left out', () => {
  const fact = {
    kind: peer.FactKind.FACT_KIND_DRAINING,
    subject: 's',
    origin: '10.0.0.2:1',
    ageMs: 0,
    lifetimeMs: 1,
    details: [],
  };
  const facts = [Number.MAX_SAFE_INTEGER, 7].map((sequence) => ({ ...fact, sequence }));
  const decoded = exchangeMessages.fromWire({ ...messageOf('10.0.0.1:1', []), facts });
  expect(decoded?.facts.map(({ sequence }) => sequence)).toEqual([7]);
});

// Guards against a process that ends when it sends on what it was told.
test('an age that has grown beyond its field since it was received is limited', () => {
  const message = exchangeMessages.fromWire(messageOf('10.0.0.1:1', []));
  if (message === undefined) throw new Error('the message was ignored');
  const table = { ...message.table, ageMs: 2 ** 32 };
  expect(exchangeMessages.toWire({ ...message, table }).tableAgeMs).toBe(2 ** 32 - 1);
  expect(exchangeMessages.encodedSize({ ...message, table })).toBeGreaterThan(0);
});

test('a message whose sender cannot be reached is ignored', () => {
  expect(exchangeMessages.fromWire(messageOf('\n', []))).toBeUndefined();
});

// Guards against followers of an earlier version that get no confirmations.
test.each([
  [true, undefined, 'all'],
  [true, true, 'all'],
  [true, false, 'changes'],
  [false, true, 'none'],
  [undefined, undefined, undefined],
])('notices %s and confirmations %s are an interest in %s', (notices, confirmations, expected) => {
  const message = messageOf('10.0.0.1:1', []);
  const interest = { wantsNotices: notices, wantsConfirmations: confirmations };
  expect(exchangeMessages.fromWire({ ...message, ...interest })?.noticeInterest).toBe(expected);
});
