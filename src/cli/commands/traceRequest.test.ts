import * as traceRequest from './traceRequest';

function lineOf(fields: Readonly<Record<string, unknown>>): string {
  return JSON.stringify({ name: 'lavenderspar', hostname: 'a', time: '1', v: 0, ...fields });
}

test('a log line with the prefix of a collector is parsed', () => {
  const line = `  12.5 edge-1 ${lineOf({ event: 'attempt.started', requestId: 'r', cost: 2 })}`;
  expect(traceRequest.parseLine(line, 'r')).toEqual({
    daemon: 'a',
    time: '1',
    event: 'attempt.started',
    fields: { cost: 2 },
  });
});

// Guards against a trace that contains lines of other requests, or ends at a malformed line.
test('lines of other requests, malformed lines and plain text are skipped', () => {
  expect(traceRequest.parseLine(lineOf({ requestId: 's', detail: 'r' }), 'r')).toBeUndefined();
  expect(traceRequest.parseLine('{"requestId":"r", "cut', 'r')).toBeUndefined();
  expect(traceRequest.parseLine('started r', 'r')).toBeUndefined();
});

// Guards against showing effects before their causes when the clocks of VMs differ.
test('lines are grouped by daemon and sorted by time', () => {
  const line = (daemon: string, time: string) => ({ daemon, time, event: time, fields: {} });
  const ordered = traceRequest.orderLines([
    line('b', '5'),
    line('a', '9'),
    line('a', '1'),
    line('b', '4'),
  ]);
  expect(ordered.map(({ daemon, time }) => daemon + time)).toEqual(['a1', 'a9', 'b4', 'b5']);
});
