import * as manualClock from '../ManualClock';
import * as admissionQueue from './AdmissionQueue';
import * as concurrencyLimit from './ConcurrencyLimit';

interface IRig {
  readonly clock: manualClock.ManualClock;
  readonly queue: admissionQueue.AdmissionQueue;
  readonly events: string[];
  enter(name: string, options?: { depth?: number; timeoutMs?: number }): string;
  /** Ends an admitted call of depth 0. */
  leave(durationMs: number): void;
}

function makeRig(): IRig {
  const clock = new manualClock.ManualClock();
  const limit = new concurrencyLimit.ConcurrencyLimit();
  // A total of one slot gives the minimum limit of two concurrent calls.
  limit.setBounds(1, 1, 1);
  const queue = new admissionQueue.AdmissionQueue(limit, clock);
  const events: string[] = [];
  const enter: IRig['enter'] = (name, { depth = 0, timeoutMs = 1_000 } = {}) =>
    queue.enter({
      depth,
      deadlineMs: clock.monotonicMs() + timeoutMs,
      onAdmitted: () => events.push(`${name} admitted`),
      onShed: () => events.push(`${name} shed`),
    });
  const ended = { depth: 0, deadlineMs: 0, onAdmitted: () => undefined, onShed: () => undefined };
  return { clock, queue, events, enter, leave: (ms) => queue.leave(ended, ms) };
}

test('admits up to the limit and queues the rest', () => {
  const rig = makeRig();
  expect(['a', 'b', 'c'].map((name) => rig.enter(name))).toEqual([
    'admitted',
    'admitted',
    'waiting',
  ]);
});

test('admits nested calls while outer calls use up the limit', () => {
  const rig = makeRig();
  ['a', 'b', 'outer'].forEach((name) => rig.enter(name));
  expect(['c', 'd', 'e'].map((name) => rig.enter(name, { depth: 1 }))).toEqual([
    'admitted',
    'admitted',
    'waiting',
  ]);
  rig.leave(10);
  expect(rig.events).toEqual(['outer admitted']);
});

test('refuses a call whose expected wait exceeds half of its remaining time', () => {
  const rig = makeRig();
  ['a', 'b'].forEach((name) => rig.enter(name));
  for (let count = 0; count < 100; count += 1) {
    rig.leave(100);
    rig.enter('next');
  }
  expect(rig.enter('patient', { timeoutMs: 1_000 })).toBe('waiting');
  expect(rig.enter('urgent', { timeoutMs: 50 })).toBe('refused');
});

test('sheds calls that waited for more than half of their remaining time', () => {
  const rig = makeRig();
  ['a', 'b', 'c', 'd'].forEach((name) => rig.enter(name));
  rig.clock.advance(600);
  rig.enter('e');
  rig.leave(10);
  expect(rig.events).toEqual(['c shed', 'd shed', 'e admitted']);
});

test('neither admits nor sheds a call that was withdrawn', () => {
  const rig = makeRig();
  ['a', 'b'].forEach((name) => rig.enter(name));
  const ticket = {
    depth: 0,
    deadlineMs: 1_000,
    onAdmitted: () => rig.events.push('withdrawn admitted'),
    onShed: () => rig.events.push('withdrawn shed'),
  };
  rig.queue.enter(ticket);
  rig.queue.withdraw(ticket);
  rig.leave(10);
  expect(rig.events).toEqual([]);
  expect(rig.queue.inFlight).toBe(1);
});
