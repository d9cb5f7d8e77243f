import type * as types from '../Types';
import type * as probeBudget from './ProbeBudget';
import type * as probingTypes from './Types';

/** A report younger than this is not worth a probe. */
export const FRESH_MS = 100;

/** The time of a server's last probe counts for this long. */
const PROBED_KEPT_MS = 60_000;

function keyOf({ service, address }: Pick<probingTypes.IProbeCandidate, 'service' | 'address'>) {
  return `${service} ${address}`;
}

/**
 * Chooses which server is probed next, within the budget: the one whose last report or probe is
 * longest ago. The probe counts too, or a server that never replies would get all of them.
 */
export class ProbeScheduler {
  private readonly underWay = new Set<string>();

  /** Time of the last probe of each server, in the order of these times. */
  private readonly probedAtMs = new Map<string, number>();

  public constructor(
    private readonly budget: probeBudget.ProbeBudget,
    private readonly clock: types.IClock,
  ) {}

  /**
   * Takes the next probe. Undefined if no permit is free for a server whose report is stale.
   * @param candidates Servers that take new work, of all services.
   */
  public take(candidates: Iterable<probingTypes.IProbeCandidate>): probingTypes.IProbe | undefined {
    const stalest = this.stalestOf(candidates);
    if (stalest === undefined) return undefined;
    const permit = this.budget.take(stalest.service);
    if (permit === undefined) return undefined;
    const key = keyOf(stalest);
    this.underWay.add(key);
    this.noteProbe(key);
    const { service, address } = stalest;
    return {
      service,
      address,
      replied: () => {
        this.underWay.delete(key);
        permit.replied();
      },
      timedOut: () => {
        this.underWay.delete(key);
        permit.timedOut();
      },
    };
  }

  private noteProbe(key: string): void {
    const nowMs = this.clock.monotonicMs();
    this.probedAtMs.delete(key);
    this.probedAtMs.set(key, nowMs);
    this.probedAtMs.forEach((probedAtMs, known) => {
      if (probedAtMs < nowMs - PROBED_KEPT_MS) this.probedAtMs.delete(known);
    });
  }

  private stalestOf(
    candidates: Iterable<probingTypes.IProbeCandidate>,
  ): probingTypes.IProbeCandidate | undefined {
    const freshSinceMs = this.clock.monotonicMs() - FRESH_MS;
    const permitted = new Map<string, boolean>();
    let stalest: probingTypes.IProbeCandidate | undefined;
    let stalestAtMs = Infinity;
    [...candidates].forEach((candidate) => {
      const key = keyOf(candidate);
      const probedAtMs = this.probedAtMs.get(key) ?? -Infinity;
      const seenAtMs = Math.max(candidate.reportedAtMs ?? -Infinity, probedAtMs);
      if (seenAtMs > freshSinceMs || seenAtMs >= stalestAtMs || this.underWay.has(key)) return;
      const { service } = candidate;
      const isPermitted = permitted.get(service) ?? this.budget.canTake(service);
      permitted.set(service, isPermitted);
      if (!isPermitted) return;
      stalest = candidate;
      stalestAtMs = seenAtMs;
    });
    return stalest;
  }
}
