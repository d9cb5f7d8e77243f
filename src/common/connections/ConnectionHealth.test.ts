import * as manualClock from '../ManualClock';
import * as seededRandom from '../SeededRandom';
import * as connectionHealth from './ConnectionHealth';

function build() {
  const clock = new manualClock.ManualClock();
  const trust = new connectionHealth.ConnectionHealth(clock, new seededRandom.SeededRandom(1));
  return { clock, trust };
}

function complete(trust: connectionHealth.ConnectionHealth, connection: number): void {
  trust.recordStart(connection);
  trust.recordEnd(connection, 'completed');
}

test('a non-idempotent request needs a connection with a completed exchange within 2 s', () => {
  const { clock, trust } = build();
  const connection = trust.add();
  expect(trust.canCarry(connection, false)).toBe(false);
  complete(trust, connection);
  clock.advance(2_000);
  expect(trust.canCarry(connection, false)).toBe(true);
  clock.advance(1);
  expect(trust.canCarry(connection, false)).toBe(false);
  expect(trust.canCarry(connection, true)).toBe(true);
});

test('connections are retired by idle time and by age', () => {
  const { clock, trust } = build();
  const idle = trust.add();
  const used = trust.add();
  clock.advance(29_999);
  expect(trust.isRetired(idle)).toBe(false);
  complete(trust, used);
  clock.advance(1);
  expect(trust.isRetired(idle)).toBe(true);
  for (let second = 30; second < 300; second += 10) {
    complete(trust, used);
    clock.advance(10_000);
  }
  expect(trust.isRetired(used)).toBe(true);
});

test('a silent exchange retires older connections without progress since', () => {
  const { clock, trust } = build();
  const older = trust.add();
  const working = trust.add();
  clock.advance(10);
  const silent = trust.add();
  clock.advance(10);
  const newer = trust.add();
  trust.recordStart(silent);
  clock.advance(400);
  complete(trust, working);
  clock.advance(100);
  expect(trust.classifyAbandoned(silent)).toBe('silent');
  trust.recordEnd(silent, 'silent');
  expect([older, working, silent, newer].map((each) => trust.isRetired(each))).toEqual([
    true,
    false,
    true,
    false,
  ]);
});

test('an exchange abandoned early or while bytes arrive is not silent', () => {
  const { clock, trust } = build();
  const connection = trust.add();
  trust.recordStart(connection);
  clock.advance(499);
  expect(trust.classifyAbandoned(connection)).toBe('failed');
  trust.recordProgress(connection);
  clock.advance(5_000);
  expect(trust.classifyAbandoned(connection)).toBe('failed');
});

test('an exchange overtaken by many later ones is reported, a recent one is not', () => {
  const { clock, trust } = build();
  const [stuck, other, busy] = [trust.add(), trust.add(), trust.add()];
  trust.recordStart(stuck);
  for (let count = 0; count < 15; count += 1) {
    clock.advance(50);
    complete(trust, other);
  }
  trust.recordStart(busy);
  expect(trust.overtaken()).toEqual([]);
  clock.advance(50);
  complete(trust, other);
  expect(trust.overtaken()).toEqual([stuck]);
});

test('no open connection is used after a pause of the process', () => {
  const { trust } = build();
  const connection = trust.add();
  complete(trust, connection);
  trust.retireAll();
  expect(trust.canCarry(connection, true)).toBe(false);
});
