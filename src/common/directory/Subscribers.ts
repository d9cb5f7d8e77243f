import type * as membershipTypes from '../membership/Types';
import type * as types from '../Types';

/** Time, in milliseconds, after which a subscriber that sent nothing gets no more notices. */
const SUBSCRIPTION_MS = 8_000;

/**
 * Maximum number of daemons that one daemon notifies. Further ones ask for the state themselves,
 * or follow other sources.
 */
const MAX_SUBSCRIBERS = 64;

interface ISubscription {
  readonly expiryMs: number;
  readonly wantsConfirmations: boolean;
}

/** Daemons that asked this one to notify them of changes, or also of confirmations. */
export class Subscribers {
  private readonly subscriptions = new Map<string, ISubscription>();

  public constructor(private readonly clock: types.IClock) {}

  /** Addresses of the current subscribers. */
  public get addresses(): readonly string[] {
    return this.select(() => true);
  }

  /** Addresses of the current subscribers that also want confirmations. */
  public get confirmedAddresses(): readonly string[] {
    return this.select(({ wantsConfirmations }) => wantsConfirmations);
  }

  /** Records which notices a daemon wants. */
  public update(address: string, interest: membershipTypes.NoticeInterest): void {
    if (interest === 'none') {
      this.subscriptions.delete(address);
      return;
    }
    this.removeExpired();
    const isKnown = this.subscriptions.has(address);
    if (!isKnown && this.subscriptions.size >= MAX_SUBSCRIBERS) return;
    const expiryMs = this.clock.monotonicMs() + SUBSCRIPTION_MS;
    this.subscriptions.set(address, { expiryMs, wantsConfirmations: interest === 'all' });
  }

  private select(isSelected: (subscription: ISubscription) => boolean): string[] {
    const nowMs = this.clock.monotonicMs();
    return [...this.subscriptions]
      .filter(([, subscription]) => subscription.expiryMs > nowMs && isSelected(subscription))
      .map(([address]) => address);
  }

  private removeExpired(): void {
    const nowMs = this.clock.monotonicMs();
    this.subscriptions.forEach(({ expiryMs }, address) => {
      if (expiryMs <= nowMs) this.subscriptions.delete(address);
    });
  }
}
