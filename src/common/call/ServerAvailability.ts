import type * as types from '../Types';

/** Time for which a drain signal stops new work, in milliseconds. Doubles when it recurs. */
const BASE_DRAIN_MS = 60_000;
const MAX_DRAIN_MS = 600_000;

/** Age in milliseconds after which an answer of the server can cancel a drain signal. */
const MIN_DRAIN_MS = 1_000;

/** Tracks whether a backend server may receive new work, or is leaving according to any signal. */
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

  /** Records a drain signal of the server itself or of a peer. Returns whether it is new. */
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

  /** Records that the server reports not to be draining. Returns whether this ends its draining. */
  public recordReady(): boolean {
    const nowMs = this.clock.monotonicMs();
    if (nowMs >= this.drainingUntilMs) return false;
    // Answers that were written before the signal may still arrive after it.
    if (nowMs - this.drainingSinceMs < MIN_DRAIN_MS) return false;
    this.drainingUntilMs = Number.NEGATIVE_INFINITY;
    return true;
  }
}
