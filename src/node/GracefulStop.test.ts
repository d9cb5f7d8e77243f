import * as manualClock from '../common/ManualClock';
import * as gracefulStop from './GracefulStop';

const GRACE_MS = 1_000;

let clock: manualClock.ManualClock;
let steps: string[];
let failures: string[];

function makeParts(failing: string): gracefulStop.IStoppingParts {
  const record = (step: string) => {
    steps.push(step);
    if (step === failing) throw new Error(`${step} failed`);
  };
  return {
    beginDraining: () => record('drain'),
    closeToCallers: async () => record('close'),
    isBusy: true,
    endRequests: () => record('end'),
    hasUnsentBytes: false,
    release: async () => record('release'),
    onStepFailed: (error) => failures.push(error.message),
  };
}

async function runFor(durationMs: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
    clock.advance(10);
    await new Promise(setImmediate);
  }
}

beforeEach(() => {
  clock = new manualClock.ManualClock();
  steps = [];
  failures = [];
});

// Guards against requests that are cut because an earlier step of the stop failed.
test.each(['drain', 'close', 'end', 'release'])(
  'a stop whose step %s fails still waits for the requests and takes all other steps',
  async (failing) => {
    const stop = new gracefulStop.GracefulStop(GRACE_MS, makeParts(failing), clock);
    const ended = stop.run().catch((error: Error) => error.message);
    await runFor(GRACE_MS / 2);
    expect(steps).toEqual(['drain']);
    await runFor(GRACE_MS);
    expect(steps).toEqual(['drain', 'close', 'end', 'release']);
    expect(failures).toEqual([`${failing} failed`]);
    expect(await ended).toBe(`${failing} failed`);
  },
);
