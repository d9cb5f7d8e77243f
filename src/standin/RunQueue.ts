import type * as types from '../common/Types';

/** One request at the queue. */
export interface IQueuedRequest {
  /** Called when a slot is free. Returns the time to run in milliseconds, or undefined to skip. */
  onStart(): number | undefined;
  onFinish(): void;
}

/** Slots and the queue for them, first come first served. */
export class RunQueue {
  private readonly waiting: IQueuedRequest[] = [];

  private readonly running = new Map<IQueuedRequest, types.IDisposable>();

  public constructor(
    private readonly slots: number,
    private readonly clock: types.IClock,
  ) {}

  public get inFlight(): number {
    return this.running.size;
  }

  public get queued(): number {
    return this.waiting.length;
  }

  public add(item: IQueuedRequest): void {
    this.waiting.push(item);
    this.startNext();
  }

  /** Removes a cancelled request, and frees its slot. */
  public remove(item: IQueuedRequest): void {
    const index = this.waiting.indexOf(item);
    if (index >= 0) this.waiting.splice(index, 1);
    this.running.get(item)?.dispose();
    this.running.delete(item);
    this.startNext();
  }

  public clear(): void {
    this.waiting.length = 0;
    this.running.forEach((timer) => timer.dispose());
    this.running.clear();
  }

  private startNext(): void {
    while (this.running.size < this.slots) {
      const item = this.waiting.shift();
      if (item === undefined) return;
      const runMs = item.onStart();
      if (runMs !== undefined) this.run(item, runMs);
    }
  }

  private run(item: IQueuedRequest, runMs: number): void {
    const timer = this.clock.setTimer(runMs, () => {
      this.running.delete(item);
      item.onFinish();
      this.startNext();
    });
    this.running.set(item, timer);
  }
}
