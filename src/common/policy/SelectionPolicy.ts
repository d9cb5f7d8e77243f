import type * as policyTypes from './Types';

/** Selects the backend server for an attempt. */
export abstract class SelectionPolicy {
  /** Name of the policy in the settings. */
  public abstract readonly name: string;

  /**
   * Returns one of `candidates`, which is never empty.
   * @param nowMs Monotonic time in milliseconds.
   */
  public abstract choose(
    candidates: readonly policyTypes.IServerState[],
    nowMs: number,
  ): policyTypes.IServerState;

  /**
   * Returns the servers to probe after a call has started, in order of priority. The probe budget
   * limits how many of them are probed. Returns none by default.
   */
  public probeTargets(
    servers: readonly policyTypes.IServerState[],
    nowMs: number,
  ): readonly policyTypes.IServerState[];

  public probeTargets(): readonly policyTypes.IServerState[] {
    return [];
  }

  /** Records the reply to a probe, after `server.report` has been updated. */
  public recordProbe(server: policyTypes.IServerState, nowMs: number): void;

  public recordProbe(): void {}
}
