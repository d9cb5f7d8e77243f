import type * as types from './Types';

/** Weight of the newest sample in the EWMA of the service time. */
const SMOOTHING = 0.05;

/** Number of kinds above which the estimates of single kinds are discarded. */
const MAX_KINDS = 64;

interface IEstimate {
  averageMs: number;
  samples: number;
}

type Kind = string | number | undefined;

function record(estimate: IEstimate, sampleMs: number): void {
  const average = estimate;
  average.samples += 1;
  // The first samples count alike, so that a single long one does not shape the average for long.
  const weight = Math.max(SMOOTHING, 1 / average.samples);
  average.averageMs += weight * (sampleMs - average.averageMs);
}

/** Expected service times on an idle server, by the kind of the calls: their route or priority. */
export class WorkEstimates {
  private readonly kinds = new Map<Kind, IEstimate>();

  private readonly service: IEstimate = { averageMs: 0, samples: 0 };

  /** Records the duration of an answered attempt, divided by the cost of its dispatch. */
  public record(
    call: Pick<types.ScheduledCall, 'route' | 'priority'> | undefined,
    serviceTimeMs: number,
  ): void {
    record(this.service, serviceTimeMs);
    const kind = call?.route ?? call?.priority;
    if (kind === undefined) return;
    const known = this.kinds.get(kind);
    if (known === undefined && this.kinds.size >= MAX_KINDS) this.kinds.clear();
    const estimate = known ?? { averageMs: 0, samples: 0 };
    record(estimate, serviceTimeMs);
    this.kinds.set(kind, estimate);
  }

  /** Returns the expected service time of a call; that of the service if its kind is new. */
  public of(call: Pick<types.ScheduledCall, 'route' | 'priority'>): number | undefined {
    const kind = this.kinds.get(call.route ?? call.priority);
    if (kind !== undefined) return kind.averageMs;
    return this.service.samples === 0 ? undefined : this.service.averageMs;
  }
}
