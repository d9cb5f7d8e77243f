import type * as types from './Types';

interface HeapTimer {
  readonly dueMs: number;
  readonly order: number;
  callback: (() => void) | undefined;
}

function isBefore(left: HeapTimer, right: HeapTimer): boolean {
  if (left.dueMs !== right.dueMs) return left.dueMs < right.dueMs;
  return left.order < right.order;
}

/** Virtual clock for millions of timers: a binary heap ordered by due time, then by creation. */
export class HeapClock implements types.IClock {
  private readonly heap: HeapTimer[] = [];

  private nowMs = 0;

  private orderCount = 0;

  public monotonicMs(): number {
    return this.nowMs;
  }

  public wallTime(): Date {
    return new Date(this.nowMs);
  }

  public setTimer(delayMs: number, callback: () => void): types.IDisposable {
    this.orderCount += 1;
    const timer: HeapTimer = {
      dueMs: this.nowMs + Math.max(0, delayMs),
      order: this.orderCount,
      callback,
    };
    this.push(timer);
    return {
      dispose: () => {
        timer.callback = undefined;
      },
    };
  }

  /** Fires all timers due by `endMs`, in order, and sets the time to `endMs`. */
  public runUntil(endMs: number): void {
    let first = this.heap[0];
    while (first !== undefined && first.dueMs <= endMs) {
      this.pop();
      this.nowMs = first.dueMs;
      first.callback?.();
      [first] = this.heap;
    }
    this.nowMs = Math.max(this.nowMs, endMs);
  }

  private push(timer: HeapTimer): void {
    const { heap } = this;
    let index = heap.length;
    while (index > 0) {
      const parentIndex = Math.floor((index - 1) / 2);
      const parent = heap[parentIndex] as HeapTimer;
      if (!isBefore(timer, parent)) break;
      heap[index] = parent;
      index = parentIndex;
    }
    heap[index] = timer;
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop() as HeapTimer;
    if (heap.length === 0) return;
    let index = 0;
    for (;;) {
      const childIndex = this.smallerChild(index);
      const child = heap[childIndex];
      if (child === undefined || !isBefore(child, last)) break;
      heap[index] = child;
      index = childIndex;
    }
    heap[index] = last;
  }

  private smallerChild(index: number): number {
    const leftIndex = 2 * index + 1;
    const left = this.heap[leftIndex];
    const right = this.heap[leftIndex + 1];
    if (left === undefined || right === undefined) return leftIndex;
    return isBefore(right, left) ? leftIndex + 1 : leftIndex;
  }
}
