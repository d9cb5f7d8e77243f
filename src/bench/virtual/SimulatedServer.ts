import type * as policyTypes from '../../common/policy/Types';
import type * as tableTypes from '../../common/table/Types';
import type * as types from '../../common/Types';

/** What a server reports as its load: the actual one, a snapshot of it, or no load at all. */
export type ReportMode = 'true' | 'frozen' | 'idle';

/** Why a job ended. */
export type JobEnd = 'done' | 'crashed';

interface Job {
  remainingMs: number;
  speed: number;
  updatedAtMs: number;
  timer: types.IDisposable | undefined;
  readonly crashes: boolean;
  readonly onEnd: (end: JobEnd) => void;
}

/** A simulated backend server with slots, a FIFO queue and a variable speed. */
export class SimulatedServer {
  public refusing = false;

  public draining = false;

  /** Speed of work that starts now. */
  private speed = 1;

  private down = false;

  private frozenReport: policyTypes.ILoadReport | undefined;

  private mode: ReportMode = 'true';

  private readonly running = new Set<Job>();

  private queue: Job[] = [];

  public constructor(
    public readonly row: tableTypes.IServerRow,
    private readonly clock: types.IClock,
  ) {}

  public get accepts(): boolean {
    return !this.refusing && !this.draining && !this.down;
  }

  public get isDown(): boolean {
    return this.down;
  }

  public get relativeSpeed(): number {
    return this.speed;
  }

  /** Number of running and queued requests. */
  public get load(): number {
    return this.running.size + this.queue.length;
  }

  public get report(): policyTypes.ILoadReport {
    const actual = {
      inFlight: this.running.size,
      queued: this.queue.length,
      draining: this.draining,
    };
    if (this.mode === 'frozen')
      return { ...(this.frozenReport ?? actual), draining: this.draining };
    if (this.mode === 'idle') return { inFlight: 0, queued: 0, draining: this.draining };
    return actual;
  }

  public setReportMode(mode: ReportMode): void {
    this.mode = 'true';
    this.frozenReport = this.report;
    this.mode = mode;
  }

  /** Sets the speed relative to normal, also for running work. */
  public setSpeed(speed: number): void {
    this.running.forEach((job) => this.updateRemaining(job));
    this.speed = speed;
    this.running.forEach((job) => this.scheduleEnd(job, speed));
  }

  /** Sets the speed of work that starts from now on. Running work keeps its speed. */
  public setSpeedOfNewWork(speed: number): void {
    this.speed = speed;
  }

  /** Queues work. Returns a function that cancels it, whether it waits or runs. */
  public submit(workMs: number, crashes: boolean, onEnd: (end: JobEnd) => void): () => void {
    const updatedAtMs = this.clock.monotonicMs();
    const job: Job = {
      remainingMs: workMs,
      speed: this.speed,
      updatedAtMs,
      timer: undefined,
      crashes,
      onEnd,
    };
    this.queue.push(job);
    this.startNext();
    return () => this.remove(job);
  }

  /** Aborts running and queued work, and takes the server down for `durationMs`. */
  public crash(durationMs: number): void {
    const lost = [...this.running, ...this.queue];
    this.running.forEach((job) => job.timer?.dispose());
    this.running.clear();
    this.queue = [];
    this.down = true;
    this.clock.setTimer(durationMs, () => {
      this.down = false;
    });
    lost.forEach((job) => job.onEnd('crashed'));
  }

  private startNext(): void {
    while (this.running.size < this.row.slots && this.queue.length > 0) {
      const job = this.queue.shift() as Job;
      this.running.add(job);
      this.scheduleEnd(job, this.speed);
    }
  }

  private scheduleEnd(job: Job, speed: number): void {
    job.timer?.dispose();
    const timer = this.clock.setTimer(job.remainingMs / speed, () => this.finish(job));
    Object.assign(job, { timer, speed, updatedAtMs: this.clock.monotonicMs() });
  }

  private updateRemaining(job: Job): void {
    const nowMs = this.clock.monotonicMs();
    const doneMs = (nowMs - job.updatedAtMs) * job.speed;
    Object.assign(job, { remainingMs: Math.max(0, job.remainingMs - doneMs), updatedAtMs: nowMs });
  }

  private finish(job: Job): void {
    this.running.delete(job);
    this.startNext();
    job.onEnd('done');
  }

  private remove(job: Job): void {
    job.timer?.dispose();
    this.running.delete(job);
    this.queue = this.queue.filter((other) => other !== job);
    this.startNext();
  }
}
