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

  /**
   * Returns the servers to probe now that a call has begun, the most important one first. The
   * budget decides how many of them are probed.
   */
  public probeTargets(
    servers: readonly policyTypes.IServerState[],
    nowMs: number,
  ): readonly policyTypes.IServerState[];

  public probeTargets(): readonly policyTypes.IServerState[] {
    return [];
  }

  /** Records the reply to a probe. The report of `server` has been updated before. */
  public recordProbe(server: policyTypes.IServerState, nowMs: number): void;

  public recordProbe(): void {}
}
