import type * as policyTypes from './Types';

/** Chooses the backend server for an attempt. */
export abstract class SelectionPolicy {
  /** The name by which settings select the policy. */
  public abstract readonly name: string;

  /**
   * Returns one of `candidates`. It is never called with an empty list.
   * @param nowMs Monotonic time in milliseconds.
   */
  public abstract choose(
    candidates: readonly policyTypes.IServerState[],
    nowMs: number,
  ): policyTypes.IServerState;
}
