/** Loaded into a daemon before it starts: each SIGUSR2 sets its wall clock forward or back. */

const STEP_MS = 7_000;

let offsetMs = 0;

const TrueDate = Date;

class SteppedDate extends TrueDate {
  public constructor(...parameters: [] | [number | string]) {
    const [value = TrueDate.now() + offsetMs] = parameters;
    super(value);
  }

  public static override now(): number {
    return TrueDate.now() + offsetMs;
  }
}

globalThis.Date = SteppedDate as unknown as DateConstructor;

process.on('SIGUSR2', () => {
  offsetMs = offsetMs === 0 ? STEP_MS : 0;
});
