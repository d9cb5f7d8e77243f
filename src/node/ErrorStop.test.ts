import * as events from 'node:events';

import * as manualClock from '../common/ManualClock';
import * as errorStop from './ErrorStop';

const STOP_GRACE_MS = 6_000;

class FakeProcess extends events.EventEmitter {
  public exitCode: number | undefined;

  public readonly exits: number[] = [];

  public exit(code: number): void {
    this.exits.push(code);
  }
}

let clock: manualClock.ManualClock;
let process: FakeProcess;
let stops: number;
let stopped: Promise<void>;

beforeEach(() => {
  clock = new manualClock.ManualClock();
  process = new FakeProcess();
  stops = 0;
  stopped = new Promise(() => undefined);
  const daemon = {
    stopGrace: STOP_GRACE_MS,
    stop: () => {
      stops += 1;
      return stopped;
    },
  };
  new errorStop.ErrorStop(process, daemon, clock).start();
});

test('an error that nothing caught stops the daemon before the process ends', async () => {
  let finish: () => void = () => undefined;
  stopped = new Promise((resolve) => {
    finish = resolve;
  });
  process.emit('uncaughtException', new Error('broken'));
  await Promise.resolve();
  expect([stops, process.exits, process.exitCode]).toEqual([1, [], 1]);
  finish();
  await new Promise(setImmediate);
  expect(process.exits).toEqual([1]);
});

test('a second error does not end the process sooner', () => {
  process.emit('uncaughtException', new Error('broken'));
  process.emit('uncaughtException', new Error('broken again'));
  expect([stops, process.exits]).toEqual([1, []]);
});

test('a stop that fails ends the process', async () => {
  stopped = Promise.reject(new Error('cannot stop'));
  process.emit('uncaughtException', new Error('broken'));
  await new Promise(setImmediate);
  expect(process.exits).toEqual([1]);
});

test('a stop that does not end is cut off after the grace period', () => {
  process.emit('uncaughtException', new Error('broken'));
  clock.advance(STOP_GRACE_MS);
  expect(process.exits).toEqual([]);
  clock.advance(1_000);
  expect(process.exits).toEqual([1]);
});
