import type * as types from '../Types';

/** Weight of the newest interval in the moving average. */
const SMOOTHING = 0.25;

/** Time after which an estimate without new turns is halved, in milliseconds. */
const HALF_LIFE_MS = 1_000;

/** Observes at which intervals the waiting calls of one service get room at this daemon. */
export class TurnRate {
  private averageMs = 0;

  /** Time of the last turn, or from which calls wait without one. */
  private sinceMs = 0;

  public constructor(private readonly clock: types.IClock) {}

  /** Records that a call begins to wait while no other does. */
  public begin(): void {
    const nowMs = this.clock.monotonicMs();
    this.averageMs *= 0.5 ** ((nowMs - this.sinceMs) / HALF_LIFE_MS);
    this.sinceMs = nowMs;
  }

  /** Records that a waiting call got room. */
  public recordTurn(): void {
    const nowMs = this.clock.monotonicMs();
    this.averageMs += SMOOTHING * (nowMs - this.sinceMs - this.averageMs);
    this.sinceMs = nowMs;
  }

  /** Expected time between two turns, in milliseconds. */
  public get intervalMs(): number {
    return Math.max(this.averageMs, SMOOTHING * (this.clock.monotonicMs() - this.sinceMs));
  }
}
