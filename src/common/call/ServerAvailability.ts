import type * as types from '../Types';

/** Time for which a drain signal keeps new work away, in milliseconds. It doubles when seen again. */
const BASE_DRAIN_MS = 60_000;
const MAX_DRAIN_MS = 600_000;

/** Age from which on a drain signal may be contradicted by the server's own answer. */
const MIN_DRAIN_MS = 1_000;

/** Whether a backend server may receive new work, by the signals of its leaving. */
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

  /** Takes what the platform's list says. */
  public setListed(state: 'live' | 'leaving'): void {
    this.listedAsLeaving = state === 'leaving';
  }

  /** Takes a drain signal of the server itself or of a peer. Returns whether it is news. */
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

  /** Takes the server's own statement that it is not draining. Returns whether it came back. */
  public recordReady(): boolean {
    const nowMs = this.clock.monotonicMs();
    if (nowMs >= this.drainingUntilMs) return false;
    // Answers that were written before the signal may still arrive after it.
    if (nowMs - this.drainingSinceMs < MIN_DRAIN_MS) return false;
    this.drainingUntilMs = Number.NEGATIVE_INFINITY;
    return true;
  }
}
