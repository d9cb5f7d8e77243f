import type * as types from '../Types';

/** Time, in milliseconds, after which a subscriber that sent nothing gets no more notices. */
const SUBSCRIPTION_MS = 3_000;

/**
 * Maximum number of daemons that one daemon notifies. Further ones ask for the state themselves,
 * or follow other sources.
 */
const MAX_SUBSCRIBERS = 64;

/** Daemons that asked this one to notify them of changes. */
export class Subscribers {
  private readonly expiryMs = new Map<string, number>();

  public constructor(private readonly clock: types.IClock) {}

  /** Addresses of the current subscribers. */
  public get addresses(): readonly string[] {
    const nowMs = this.clock.monotonicMs();
    return [...this.expiryMs].filter(([, expiry]) => expiry > nowMs).map(([address]) => address);
  }

  /** Records whether a daemon wants notices. */
  public update(address: string, wantsNotices: boolean): void {
    if (!wantsNotices) {
      this.expiryMs.delete(address);
      return;
    }
    this.removeExpired();
    if (!this.expiryMs.has(address) && this.expiryMs.size >= MAX_SUBSCRIBERS) return;
    this.expiryMs.set(address, this.clock.monotonicMs() + SUBSCRIPTION_MS);
  }

  private removeExpired(): void {
    const nowMs = this.clock.monotonicMs();
    this.expiryMs.forEach((expiry, address) => {
      if (expiry <= nowMs) this.expiryMs.delete(address);
    });
  }
}
