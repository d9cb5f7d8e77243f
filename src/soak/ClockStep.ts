/** Preloaded into a daemon with `--require`. Each SIGUSR2 steps its wall clock forward or back. */

const STEP_MS = 7_000;

let offsetMs = 0;

const RealDate = Date;

class SteppedDate extends RealDate {
  public constructor(...parameters: [] | [number | string]) {
    const [value = RealDate.now() + offsetMs] = parameters;
    super(value);
  }

  public static override now(): number {
    return RealDate.now() + offsetMs;
  }
}

globalThis.Date = SteppedDate as unknown as DateConstructor;

process.on('SIGUSR2', () => {
  offsetMs = offsetMs === 0 ? STEP_MS : 0;
});
