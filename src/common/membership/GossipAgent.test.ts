import * as manualClock from '../ManualClock';
import * as seededRandom from '../SeededRandom';
import * as gossipAgent from './GossipAgent';
import * as gossipBudget from './GossipBudget';
import * as messageComposer from './MessageComposer';
import type * as membershipTypes from './Types';

function addressOf(index: number): string {
  return `10.0.${Math.floor(index / 250)}.${index % 250}:7000`;
}

function record(index: number, heartbeat = 1): membershipTypes.IMember {
  const base = { address: addressOf(index), incarnation: 5, heartbeat, failureDomain: 'domain-1' };
  return { ...base, leaving: false, tableVersion: 1 };
}

function sizeOf(message: gossipAgent.IExchangeMessage): number {
  const members = message.members.reduce(
    (sum, member) => sum + messageComposer.sizeOfMember(member),
    0,
  );
  return messageComposer.EMPTY_MESSAGE_BYTES + members + message.heartbeats.length * 7;
}

function setUp(members = 0) {
  const clock = new manualClock.ManualClock();
  const table = { version: 3, hash: 'abc' };
  const options = { address: '10.9.9.9:7000', failureDomain: 'a', incarnation: 50, sizeOf };
  const agent = new gossipAgent.GossipAgent(
    { ...options, tableState: () => table },
    clock,
    new seededRandom.SeededRandom(1),
  );
  for (let index = 0; index < members; index += 1) agent.members.merge(record(index));
  return { clock, agent };
}

test('at most 8 KB are sent per second, including replies to peers', () => {
  const { clock, agent } = setUp(200);
  const empty = agent.emptyMessage;
  for (let second = 0; second < 10; second += 1) {
    const before = agent.budget.totalSpentBytes;
    for (let step = 0; step < 10; step += 1) {
      clock.advance(100);
      agent.beginExchange();
      agent.receive({ ...empty, sender: record(step, second * 10 + step) });
    }
    const limit = gossipBudget.BYTES_PER_SECOND + gossipBudget.BURST_BYTES;
    expect(agent.budget.totalSpentBytes - before).toBeLessThanOrEqual(limit);
  }
});

test('no exchange starts while the budget is spent, and the budget refills', () => {
  const { clock, agent } = setUp(5);
  agent.budget.spend(gossipBudget.BURST_BYTES);
  expect(agent.beginExchange()).toBeUndefined();
  clock.advance(1_000);
  expect(agent.beginExchange()).toBeDefined();
});

test('every record of 200 members is sent within 60 messages', () => {
  const { clock, agent } = setUp(200);
  const sent = new Set<string>();
  for (let count = 0; count < 60; count += 1) {
    clock.advance(500);
    for (let index = 0; index < 200; index += 1) agent.members.merge(record(index, count + 2));
    const message = agent.beginExchange()?.message;
    expect(sizeOf(message as gossipAgent.IExchangeMessage)).toBeLessThanOrEqual(
      messageComposer.MAX_MESSAGE_BYTES,
    );
    message?.members.forEach(({ address }) => sent.add(address));
  }
  expect(sent.size).toBe(200);
});

test('members whose heartbeat stopped advancing are not gossiped', () => {
  const { clock, agent } = setUp(3);
  clock.advance(1_900);
  agent.members.removeExpired();
  clock.advance(1_900);
  agent.members.merge(record(1, 2));
  clock.advance(1_900);
  const message = agent.beginExchange()?.message;
  expect(message?.members.map(({ address }) => address)).toEqual([addressOf(1)]);
});

test('a new urgent fact is sent to 4 peers immediately, and only once', () => {
  const { clock, agent } = setUp(10);
  const fact = { kind: 'draining', subject: 's', origin: 'o', sequence: 1, ageMs: 0 } as const;
  const message = { ...agent.emptyMessage, sender: record(1), urgent: true };
  let signals = 0;
  agent.onUrgent(() => {
    signals += 1;
  });
  const receive = (sequence: number) =>
    agent.receive({ ...message, facts: [{ ...fact, sequence, lifetimeMs: 60_000, details: [] }] });
  expect(receive(1).facts).toEqual([]);
  const urgentMessage = agent.takeUrgentMessage();
  expect(new Set(urgentMessage?.targets).size).toBe(4);
  expect(urgentMessage?.message).toMatchObject({ urgent: true, facts: [{ subject: 's' }] });
  clock.advance(1_000);
  receive(1);
  receive(2);
  expect(signals).toBe(1);
  expect(agent.takeUrgentMessage()).toBeUndefined();
  expect(agent.beginExchange()?.message.facts).toMatchObject([{ sequence: 2, ageMs: 0 }]);
});

// Guards against the report that convicts a request being dropped with those of a crashed server.
test('of more urgent facts than fit, those with most details are sent', () => {
  const { agent } = setUp(10);
  const lifetimeMs = 60_000;
  for (let index = 0; index < 100; index += 1) {
    agent.facts.record({
      kind: 'suspect-request',
      subject: `${index}`,
      lifetimeMs,
      details: ['a'],
    });
  }
  const details = ['a', 'b', 'c'];
  agent.facts.record({ kind: 'suspect-request', subject: 'last', lifetimeMs, details });
  expect(agent.takeUrgentMessage()?.message.facts[0]).toMatchObject({ subject: 'last' });
});

test('an urgent message announces that the daemon is leaving, even without facts', () => {
  const { agent } = setUp(10);
  agent.leave();
  expect(agent.takeUrgentMessage()?.message.sender.leaving).toBe(true);
});

test('a process with a lower incarnation than its predecessor takes a higher one', () => {
  const { agent } = setUp(1);
  agent.members.merge({ ...agent.ownRecord, incarnation: 60 });
  expect(agent.beginExchange()?.message.sender.incarnation).toBe(61);
});

test('departed addresses are retried when no peer is left, so that a partition heals', () => {
  const { clock, agent } = setUp(1);
  for (let step = 0; step < 62; step += 1) {
    clock.advance(500);
    agent.members.removeExpired();
  }
  expect(agent.members.peers).toEqual([]);
  expect(agent.beginExchange()?.targets).toEqual([addressOf(0)]);
});
