import * as manualClock from '../../common/ManualClock';
import * as boundedLogStream from './BoundedLogStream';

const LINE = `${JSON.stringify({ event: 'a' })}\n`;
const FLUSH_MS = 50;

interface ILine {
  readonly event: string;
  /** Number of dropped lines. */
  readonly lines?: number;
}

let clock: manualClock.ManualClock;
let stream: boundedLogStream.BoundedLogStream;
let output: string;

/** Ends the write in progress, if writes do not end at once. */
let endWrite: (() => void) | undefined;

let endsAtOnce: boolean;

/** Number of bytes that the destination accepts. */
let room: number;

let tries: number;

function accept(bytes: Buffer): number {
  tries += 1;
  if (room === 0) throw Object.assign(new Error('the pipe is full'), { code: 'EAGAIN' });
  const count = Math.min(room, bytes.length);
  output += bytes.subarray(0, count).toString();
  room -= count;
  return count;
}

function writeLines(count: number): void {
  for (let number = 0; number < count; number += 1) stream.write(LINE);
  clock.advance(FLUSH_MS);
}

beforeEach(() => {
  output = '';
  tries = 0;
  endsAtOnce = true;
  endWrite = undefined;
  clock = new manualClock.ManualClock();
  const write: boundedLogStream.WriteBytes = (bytes, onWritten) => {
    let count = 0;
    try {
      count = accept(bytes);
    } catch (error) {
      onWritten(error as Error, 0);
      return;
    }
    if (endsAtOnce) onWritten(null, count);
    else endWrite = () => onWritten(null, count);
  };
  stream = new boundedLogStream.BoundedLogStream(write, accept, clock);
});

// Guards against lines that are lost, or cut in the middle, behind a reader that is slow for a while.
test.each([0, 5])(
  'lines that a full pipe does not take are written later: room for %i',
  (bytes) => {
    room = bytes;
    writeLines(3);
    room = 1_000;
    writeLines(1);
    expect(output).toBe(LINE.repeat(4));
  },
);

// Guards against lines that are lost without a trace behind a reader that is slow for long.
test('lines beyond the buffer are counted in a later line', () => {
  room = 0;
  writeLines(200_000);
  room = Infinity;
  writeLines(1);
  const lines = output
    .trimEnd()
    .split('\n')
    .map((line) => JSON.parse(line) as ILine);
  const kept = lines.filter(({ event }) => event === 'a').length;
  const dropped = lines.reduce((sum, line) => sum + (line.lines ?? 0), 0);
  expect(kept).toBeLessThan(200_000);
  expect(kept + dropped).toBe(200_001);
});

test('lines that wait are written before the process ends', () => {
  room = 5;
  writeLines(1);
  room = 1_000;
  stream.write(LINE);
  stream.flushNow();
  expect(output).toBe(LINE.repeat(2));
});

// Guards against a process that is kept alive by a log that nobody reads.
test('a full pipe is not tried again without a new line', () => {
  room = 0;
  writeLines(1);
  clock.advance(60_000);
  expect(tries).toBe(1);
});

// Guards against lines that are lost, or cut in the middle, when the process goes on after an error.
test.each([
  [5, 0],
  [LINE.length, 0],
  [5, 1_000],
])('no line is lost if all are written during a write: room for %i, then %i', (before, during) => {
  endsAtOnce = false;
  room = before;
  writeLines(1);
  room = during;
  stream.write(LINE);
  stream.flushNow();
  room = 1_000;
  endsAtOnce = true;
  endWrite?.();
  writeLines(1);
  const sorted = (text: string) => [...text].sort().join('');
  expect(sorted(output)).toBe(sorted(LINE.repeat(3)));
});
