import * as manualClock from '../ManualClock';
import * as queueLimit from './QueueLimit';

const reportOf = (inFlight: number, queued: number) => ({ inFlight, queued, draining: false });

function kindAt(limit: queueLimit.QueueLimit, queued: number): string {
  return limit.classify({ kind: 'ready', report: reportOf(2, queued) }).kind;
}

// Guards against requests to servers whose reported queue is as long as one that was refused.
test('servers with a queue as long as at a refusal are full, for a few seconds', () => {
  const clock = new manualClock.ManualClock();
  const limit = new queueLimit.QueueLimit(clock);
  expect(kindAt(limit, 9)).toBe('ready');
  limit.recordRefusal(reportOf(2, 5), 2);
  limit.recordRefusal(reportOf(2, 4), 2);
  limit.recordRefusal(reportOf(2, 6), 2);
  expect([3, 4, 5].map((queued) => kindAt(limit, queued))).toEqual(['ready', 'full', 'full']);
  clock.advance(5_001);
  expect(kindAt(limit, 9)).toBe('ready');
});

// Guards against avoiding a service because one server refuses for another reason than its queue.
test('a refusal with a free slot or an empty queue teaches nothing', () => {
  const limit = new queueLimit.QueueLimit(new manualClock.ManualClock());
  limit.recordRefusal(reportOf(1, 1), 2);
  limit.recordRefusal(reportOf(2, 0), 2);
  expect(kindAt(limit, 1)).toBe('ready');
});
