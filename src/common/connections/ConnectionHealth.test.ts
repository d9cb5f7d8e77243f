import * as manualClock from '../ManualClock';
import * as seededRandom from '../SeededRandom';
import * as connectionHealth from './ConnectionHealth';

function build() {
  const clock = new manualClock.ManualClock();
  const health = new connectionHealth.ConnectionHealth(clock, new seededRandom.SeededRandom(1));
  return { clock, health };
}

function complete(health: connectionHealth.ConnectionHealth, connection: number): void {
  health.recordStart(connection);
  health.recordEnd(connection, 'completed');
}

test('a non-idempotent request needs a connection with a completed exchange within 2 s', () => {
  const { clock, health } = build();
  const connection = health.add();
  expect(health.canCarry(connection, false)).toBe(false);
  complete(health, connection);
  clock.advance(2_000);
  expect(health.canCarry(connection, false)).toBe(true);
  clock.advance(1);
  expect(health.canCarry(connection, false)).toBe(false);
  expect(health.canCarry(connection, true)).toBe(true);
});

test('connections are retired by idle time and by age', () => {
  const { clock, health } = build();
  const idle = health.add();
  const used = health.add();
  clock.advance(29_999);
  expect(health.isRetired(idle)).toBe(false);
  complete(health, used);
  clock.advance(1);
  expect(health.isRetired(idle)).toBe(true);
  for (let second = 30; second < 300; second += 10) {
    complete(health, used);
    clock.advance(10_000);
  }
  expect(health.isRetired(used)).toBe(true);
});

test('a silent exchange retires older connections without progress since', () => {
  const { clock, health } = build();
  const older = health.add();
  const working = health.add();
  clock.advance(10);
  const silent = health.add();
  clock.advance(10);
  const newer = health.add();
  health.recordStart(silent);
  clock.advance(400);
  complete(health, working);
  clock.advance(100);
  expect(health.classifyAbandoned(silent)).toBe('silent');
  health.recordEnd(silent, 'silent');
  expect([older, working, silent, newer].map((each) => health.isRetired(each))).toEqual([
    true,
    false,
    true,
    false,
  ]);
});

test('an exchange abandoned early or while bytes arrive is not silent', () => {
  const { clock, health } = build();
  const connection = health.add();
  health.recordStart(connection);
  clock.advance(499);
  expect(health.classifyAbandoned(connection)).toBe('failed');
  health.recordProgress(connection);
  clock.advance(5_000);
  expect(health.classifyAbandoned(connection)).toBe('failed');
});

test('an exchange overtaken by many later ones is reported, a recent one is not', () => {
  const { clock, health } = build();
  const [stuck, other, busy] = [health.add(), health.add(), health.add()];
  health.recordStart(stuck);
  for (let count = 0; count < 15; count += 1) {
    clock.advance(50);
    complete(health, other);
  }
  health.recordStart(busy);
  expect(health.overtaken()).toEqual([]);
  clock.advance(50);
  complete(health, other);
  expect(health.overtaken()).toEqual([stuck]);
});

test('no open connection is used after a pause of the process', () => {
  const { health } = build();
  const connection = health.add();
  complete(health, connection);
  health.retireAll();
  expect(health.canCarry(connection, true)).toBe(false);
});

test('health checks overtake no request', () => {
  const { clock, health } = build();
  const working = health.add();
  const checked = health.add();
  health.recordStart(working);
  clock.advance(1_000);
  for (let count = 0; count < 40; count += 1) {
    health.recordStart(checked);
    health.recordEnd(checked, 'checked');
  }
  expect(health.overtaken()).toEqual([]);
  expect(health.canCarry(checked, false)).toBe(true);
});
