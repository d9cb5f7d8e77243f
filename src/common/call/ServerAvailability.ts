import type * as types from '../Types';

/** Time without new work after a drain signal, in milliseconds. Doubles when the signal recurs. */
const BASE_DRAIN_MS = 60_000;
const MAX_DRAIN_MS = 600_000;

/** Minimum age of a drain signal for a ready report to cancel it, in milliseconds. */
const MIN_DRAIN_MS = 1_000;

/** Tracks whether a backend server is leaving, by drain signals and the platform's list of VMs. */
export class ServerAvailability {
  private listedAsLeaving = false;

  private drainingSinceMs = Number.NEGATIVE_INFINITY;

  private drainingUntilMs = Number.NEGATIVE_INFINITY;

  private drainMs = BASE_DRAIN_MS;

  public constructor(private readonly clock: types.IClock) {}

  /** Whether any signal says that the server is leaving. */
  public get isLeaving(): boolean {
    return this.listedAsLeaving || this.clock.monotonicMs() < this.drainingUntilMs;
  }

  /** Sets the state of the server in the platform's list of VMs. */
  public setListed(state: 'live' | 'leaving'): void {
    this.listedAsLeaving = state === 'leaving';
  }

  /** Records a drain signal from the server itself or from a peer. Returns whether it is new. */
  public recordDraining(): boolean {
    const nowMs = this.clock.monotonicMs();
    const isNew = nowMs >= this.drainingUntilMs;
    if (isNew) {
      const isRepeated = this.drainingUntilMs !== Number.NEGATIVE_INFINITY;
      this.drainMs = isRepeated ? Math.min(MAX_DRAIN_MS, this.drainMs * 2) : BASE_DRAIN_MS;
      this.drainingSinceMs = nowMs;
    }
    this.drainingUntilMs = nowMs + this.drainMs;
    return isNew;
  }

  /** Records a ready report of the server. Returns whether this ends its draining. */
  public recordReady(): boolean {
    const nowMs = this.clock.monotonicMs();
    if (nowMs >= this.drainingUntilMs) return false;
    // Answers that were written before the signal may still arrive after it.
    if (nowMs - this.drainingSinceMs < MIN_DRAIN_MS) return false;
    this.drainingUntilMs = Number.NEGATIVE_INFINITY;
    return true;
  }
}
