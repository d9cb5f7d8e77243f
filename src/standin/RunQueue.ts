import type * as types from '../common/Types';

/** A request that waits for a slot or occupies one. */
export interface IQueuedRequest {
  /** Called when a slot is free. Returns the run time in milliseconds; undefined to drop it. */
  onStart(): number | undefined;
  onFinish(): void;
}

/** FIFO queue of requests that run in a fixed number of slots. */
export class RunQueue {
  private readonly waiting: IQueuedRequest[] = [];

  private readonly running = new Map<IQueuedRequest, types.IDisposable>();

  public constructor(
    private readonly slots: number,
    private readonly clock: types.IClock,
  ) {}

  public get runningCount(): number {
    return this.running.size;
  }

  public get queuedCount(): number {
    return this.waiting.length;
  }

  public add(item: IQueuedRequest): void {
    this.waiting.push(item);
    this.startNext();
  }

  /** Removes a cancelled request from the queue, or frees its slot. */
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
