import type * as directoryTypes from './Types';

/** Maximum number of failure domains remembered, which bounds what other writers can add. */
const MAX_FAILURE_DOMAINS = 1_000;

/**
 * The failure domains whose servers get no requests, by request of operators. Evacuations that ended
 * are remembered with their revision, since peers pass on changes in any order.
 */
export class Evacuations {
  private readonly byDomain = new Map<string, directoryTypes.EvacuationRecord>();

  /** The evacuated failure domains. */
  public get active(): ReadonlySet<string> {
    return new Set(
      this.records.filter(({ isActive }) => isActive).map(({ failureDomain }) => failureDomain),
    );
  }

  /** All that is known, for a peer. */
  public get records(): readonly directoryTypes.EvacuationRecord[] {
    return [...this.byDomain.values()];
  }

  /** Applies a record. Returns whether the evacuated failure domains changed. */
  public apply(record: directoryTypes.EvacuationRecord): boolean {
    const { failureDomain, isActive, revision } = record;
    const known = this.byDomain.get(failureDomain);
    if (known !== undefined && known.revision >= revision) return false;
    if (known === undefined && this.byDomain.size >= MAX_FAILURE_DOMAINS) return false;
    this.byDomain.set(failureDomain, record);
    return isActive !== (known?.isActive ?? false);
  }

  /**
   * Ends the evacuations that a full listing lacks, unless they began after it.
   * @param listed Records of the listing.
   * @param revision Revision of the listing.
   * @returns Whether the evacuated failure domains changed.
   */
  public retain(listed: readonly directoryTypes.DirectoryRecord[], revision: number): boolean {
    const kept = new Set(
      listed.flatMap((record) => (record.kind === 'evacuation' ? [record.failureDomain] : [])),
    );
    return this.records
      .filter(({ failureDomain, isActive }) => isActive && !kept.has(failureDomain))
      .map((record) => this.apply({ ...record, isActive: false, revision }))
      .some(Boolean);
  }
}
