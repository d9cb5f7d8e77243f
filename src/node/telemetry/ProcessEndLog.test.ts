import * as events from 'node:events';

import * as bunyan from 'bunyan';

import * as manualClock from '../../common/ManualClock';
import * as boundedLogStream from './BoundedLogStream';
import * as processEndLog from './ProcessEndLog';

const STATE: processEndLog.IEndState = { phase: 'ready', exchangesInFlight: 2 };

let written: string;
let process: events.EventEmitter;

beforeEach(() => {
  written = '';
  process = new events.EventEmitter();
  const clock = new manualClock.ManualClock();
  const stream = new boundedLogStream.BoundedLogStream(
    () => undefined,
    (bytes) => {
      written += bytes.toString();
      return bytes.length;
    },
    clock,
  );
  const logger = bunyan.createLogger({
    ...{ name: 'test', stream, serializers: { err: bunyan.stdSerializers.err } },
  });
  new processEndLog.ProcessEndLog(process, logger, stream, clock, () => STATE).start();
});

test('an error that nothing caught is written with its stack before the process ends', () => {
  const error = new Error('broken');
  process.emit('uncaughtExceptionMonitor', error, 'unhandledRejection');
  expect(JSON.parse(written)).toMatchObject({
    ...{ level: bunyan.FATAL, event: 'process.uncaught_error', origin: 'unhandledRejection' },
    ...{ err: { message: 'broken', stack: error.stack }, phase: 'ready', exchangesInFlight: 2 },
  });
});

test.each([
  [0, bunyan.INFO],
  [3, bunyan.ERROR],
])('the exit code %i is written before the process ends', (code, level) => {
  process.emit('exit', code);
  expect(JSON.parse(written)).toMatchObject({ event: 'process.ended', code, level });
});
