import type * as policyTypes from '../../policy/Types';
import type * as tableTypes from '../../table/Types';
import type * as types from '../../Types';

/** Slot utilization above which work takes longer, and by which factor. */
const KNEE = 0.8;
const KNEE_FACTOR = 1.7;

/** Mean times of the alternating spells, in milliseconds, and the slowdown of work that starts. */
const NORMAL_SPELL_MS = 350;
const SLOW_SPELL_MS = 150;
const SLOWDOWN = 5;

interface IJob {
  readonly workMs: number;
  readonly onDone: () => void;
  timer: types.IDisposable | undefined;
}

/** Server with slots, a short queue, slow spells and a slower pace when it is nearly full. */
export class FakeServer {
  public isDown = false;

  private slowdown = 1;

  private readonly running = new Set<IJob>();

  private queue: IJob[] = [];

  public constructor(
    public readonly row: tableTypes.IServerRow,
    private readonly maxQueue: number,
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
    hasSlowSpells: boolean,
  ) {
    if (hasSlowSpells) this.startSpell(random.next() < 0.3);
  }

  public get report(): policyTypes.ILoadReport {
    const { running, queue, slowdown } = this;
    return { inFlight: running.size, queued: queue.length, draining: false, slowdown };
  }

  /** Number of slots without work. */
  public get idleSlots(): number {
    return this.isDown ? 0 : this.row.slots - this.running.size;
  }

  /** Returns a function that cancels the work, or undefined if the server rejects it. */
  public submit(workMs: number, onDone: () => void): (() => void) | undefined {
    if (this.queue.length >= this.maxQueue) return undefined;
    const job: IJob = { workMs, onDone, timer: undefined };
    this.queue.push(job);
    this.startNext();
    return () => {
      job.timer?.dispose();
      this.running.delete(job);
      this.queue = this.queue.filter((other) => other !== job);
      this.startNext();
    };
  }

  private startNext(): void {
    while (this.running.size < this.row.slots && this.queue.length > 0) {
      const job = this.queue.shift() as IJob;
      this.running.add(job);
      const busy = this.running.size / this.row.slots > KNEE ? KNEE_FACTOR : 1;
      job.timer = this.clock.setTimer(job.workMs * busy * this.slowdown, () => this.end(job));
    }
  }

  private end(job: IJob): void {
    this.running.delete(job);
    this.startNext();
    job.onDone();
  }

  private startSpell(isSlow: boolean): void {
    this.slowdown = isSlow ? SLOWDOWN : 1;
    const meanMs = isSlow ? SLOW_SPELL_MS : NORMAL_SPELL_MS;
    const durationMs = -meanMs * Math.log(1 - this.random.next());
    this.clock.setTimer(durationMs, () => this.startSpell(!isSlow));
  }
}
