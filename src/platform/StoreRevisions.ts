/**
 * Revisions of the store in one order. When the store is restored from a copy its revisions go back
 * and are given out again, and its era rises, so that a revision alone does not tell which of two
 * states is newer. Inside the product a revision is a single number that only rises: the era, followed
 * by the store's own revision.
 */

/** Limit of the store's own revision, which lasts for 79 years at 400 changes a second. */
export const REVISION_LIMIT = 1e12;

/** Limit of the era up to which the revisions are exact integers. */
export const ERA_LIMIT = 9_000;

/** A state of the store: the number of times that it was restored, and the revision since. */
export interface IStoreState {
  readonly era: number;
  readonly storeRevision: number;
}

/** Whether the numbers are ones that `toRevision` can order. */
export function isValid({ era, storeRevision }: IStoreState): boolean {
  const isInRange = (value: number, limit: number) =>
    Number.isInteger(value) && value >= 0 && value < limit;
  return isInRange(era, ERA_LIMIT) && isInRange(storeRevision, REVISION_LIMIT);
}

/** Returns the revision under which the product knows a state of the store. */
export function toRevision({ era, storeRevision }: IStoreState): number {
  return era * REVISION_LIMIT + storeRevision;
}

/** Returns the state of the store for a revision of the product. */
export function toStoreState(revision: number): IStoreState {
  const era = Math.floor(revision / REVISION_LIMIT);
  return { era, storeRevision: revision - era * REVISION_LIMIT };
}
