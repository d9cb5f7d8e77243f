import type * as types from '../Types';

/** Sources that a daemon follows at the same time, so that the loss of one delays no change. */
const FOLLOWED_SOURCES = 2;

/** The same while the readers of the directory seem to fail, or have just failed. */
const FOLLOWED_SOURCES_AT_FAILURE = 6;

/** Silence of the first source, in milliseconds, after which this daemon asks it again. */
const RENEW_AFTER_MS = 1_000;

/**
 * The same for the other sources, from which notices come only with changes, and for all of them
 * while the confirmation of the directory is late.
 */
const STANDBY_RENEW_AFTER_MS = 3_000;
const LATE_RENEW_AFTER_MS = 500;

/** Time, in milliseconds, for which a source that did not answer is passed over. */
const UNRESPONSIVE_MS = 5_000;

interface ISourceContact {
  readonly askedMs: number;
  readonly heardMs: number;
}

/**
 * Chooses the sources that this daemon follows, and when to ask them for notices. The first one
 * confirms that nothing has changed, the others stand by.
 */
export class Subscriptions {
  private readonly contacts = new Map<string, ISourceContact>();

  private chosen: readonly string[] = [];

  public constructor(private readonly clock: types.IClock) {}

  /** Whether this daemon currently follows the source. */
  public follows(address: string): boolean {
    return this.chosen.includes(address);
  }

  /** Whether the source is the one whose confirmations this daemon wants. */
  public isFirst(address: string): boolean {
    return this.chosen[0] === address;
  }

  /** Records a message from a daemon. */
  public recordMessage(address: string): void {
    const contact = this.contacts.get(address);
    if (contact === undefined) return;
    this.contacts.set(address, { ...contact, heardMs: this.clock.monotonicMs() });
  }

  /**
   * Chooses the sources to follow, and returns those to ask for notices now.
   * @param preferred Addresses of the possible sources, most preferred first.
   * @param isLate Whether the directory should have been confirmed by now.
   * @param hasFailed Whether that was so a short time ago, so that more sources are followed.
   */
  public takeDue(
    preferred: readonly string[],
    isLate = false,
    hasFailed = false,
  ): readonly string[] {
    const known = new Set(preferred);
    [...this.contacts.keys()]
      .filter((address) => !known.has(address))
      .forEach((address) => this.contacts.delete(address));
    this.chosen = preferred
      .filter((address) => !this.isUnresponsive(address))
      .slice(0, hasFailed ? FOLLOWED_SOURCES_AT_FAILURE : FOLLOWED_SOURCES);
    const due = this.chosen.filter((address) => this.isDue(address, isLate));
    const nowMs = this.clock.monotonicMs();
    due.forEach((address) => {
      const heardMs = this.contacts.get(address)?.heardMs ?? Number.NEGATIVE_INFINITY;
      this.contacts.set(address, { askedMs: nowMs, heardMs });
    });
    return due;
  }

  private isDue(address: string, isLate: boolean): boolean {
    const contact = this.contacts.get(address);
    if (contact === undefined) return true;
    const lastMs = Math.max(contact.askedMs, contact.heardMs);
    return this.clock.monotonicMs() - lastMs >= this.renewAfterMs(address, isLate);
  }

  private renewAfterMs(address: string, isLate: boolean): number {
    if (isLate) return LATE_RENEW_AFTER_MS;
    return this.isFirst(address) ? RENEW_AFTER_MS : STANDBY_RENEW_AFTER_MS;
  }

  private isUnresponsive(address: string): boolean {
    const contact = this.contacts.get(address);
    if (contact === undefined || contact.heardMs >= contact.askedMs) return false;
    const waitedMs = this.clock.monotonicMs() - contact.askedMs;
    return waitedMs >= RENEW_AFTER_MS && waitedMs < UNRESPONSIVE_MS;
  }
}
