import type * as types from '../../common/Types';
import type * as serverTypes from '../server/Types';

/** Number of refusals that are kept for operators. */
const MAX_RECENT = 200;

/** A refusal with the time at which it was recorded. */
export interface ITimedRefusal extends serverTypes.IRefusalRecord {
  /** Wall-clock time in ISO 8601. */
  readonly time: string;
}

/** Keeps the most recent refusals, and counts all since the start by kind. */
export class RefusalLog {
  private readonly ring: ITimedRefusal[] = [];

  private readonly counts = new Map<string, number>();

  private nextIndex = 0;

  public constructor(private readonly clock: types.IClock) {}

  /** Refusals since the start of the process, by kind. */
  public get totals(): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.counts].sort(([a], [b]) => a.localeCompare(b)));
  }

  /** The most recent refusals, the newest first. */
  public get recent(): readonly ITimedRefusal[] {
    const newest = this.ring.slice(0, this.nextIndex).reverse();
    return [...newest, ...this.ring.slice(this.nextIndex).reverse()];
  }

  public add(record: serverTypes.IRefusalRecord): void {
    this.counts.set(record.kind, (this.counts.get(record.kind) ?? 0) + 1);
    this.ring[this.nextIndex] = { time: this.clock.wallTime().toISOString(), ...record };
    this.nextIndex = (this.nextIndex + 1) % MAX_RECENT;
  }
}
