import * as emitter from '../Emitter';
import type * as types from '../Types';
import type * as membershipTypes from './Types';

export const MAX_FACTS = 2_000;
/** The longest lifetime is that of moved request keys. */
export const MAX_LIFETIME_MS = 900_000;
/**
 * An expired fact is kept for this long, unseen, so that a copy of it that spent time on the
 * network and therefore claims a lower age is not taken for a new one.
 */
const TOMBSTONE_LIFETIME_MS = 10_000;
/** Removal of expired facts looks at every record, which is too much work for each message. */
const EXPIRY_INTERVAL_MS = 1_000;

/** A longer fact would not fit into the share that a message has for facts. */
export const MAX_FACT_BYTES = 270;
/** Upper limit of protobuf overhead: tags and lengths, and 9 bytes for a number. */
const FACT_OVERHEAD_BYTES = 32;
const DETAIL_OVERHEAD_BYTES = 2;

interface IEntry {
  readonly fact: membershipTypes.IFact;
  readonly receivedAtMs: number;
}

function topicOf(kind: membershipTypes.FactKind, subject: string): string {
  return `${kind} ${subject}`;
}

function keyOf(fact: Pick<membershipTypes.IFact, 'kind' | 'subject' | 'origin'>): string {
  return `${topicOf(fact.kind, fact.subject)} ${fact.origin}`;
}

/** Upper limit of the encoded size of a fact. */
export function sizeOfFact(fact: membershipTypes.IFact): number {
  const detailBytes = fact.details.reduce(
    (sum, detail) => sum + DETAIL_OVERHEAD_BYTES + detail.length,
    0,
  );
  return FACT_OVERHEAD_BYTES + fact.subject.length + fact.origin.length + detailBytes;
}

/** The observations that daemons share. The newest of each origin counts. */
export class FactStore {
  private readonly addedEmitter = new emitter.Emitter<membershipTypes.INewFact>();

  private readonly removedEmitter = new emitter.Emitter<string>();

  /** In the order of the last change. */
  private readonly entries = new Map<string, IEntry>();

  /** Keys of the records about one subject. */
  private readonly byTopic = new Map<string, Set<string>>();

  private sequence: number;

  private lastExpiryAtMs: number;

  /** Fires with each fact that is new here, from this daemon or from a peer. */
  public readonly onAdded: types.Event<membershipTypes.INewFact> = this.addedEmitter.event;

  /** Fires with the key of each record that is dropped for good. */
  public readonly onRemoved: types.Event<string> = this.removedEmitter.event;

  /**
   * @param firstSequence Must be higher than the sequences of earlier processes at `origin`,
   * because their facts outlive them.
   */
  public constructor(
    private readonly origin: string,
    private readonly clock: types.IClock,
    firstSequence: number,
  ) {
    this.sequence = firstSequence;
    this.lastExpiryAtMs = clock.monotonicMs();
  }

  /** Records held, expired ones included. */
  public get size(): number {
    return this.entries.size;
  }

  /** Facts that hold, with their present age. */
  public get facts(): readonly membershipTypes.IFact[] {
    return [...this.entries.values()]
      .map((entry) => this.withCurrentAge(entry))
      .filter((fact) => fact.ageMs < fact.lifetimeMs);
  }

  /** The fact of a key, as named by `onAdded`, or undefined if it no longer holds. */
  public get(key: string): membershipTypes.IFact | undefined {
    const entry = this.entries.get(key);
    if (entry === undefined) return undefined;
    const fact = this.withCurrentAge(entry);
    return fact.ageMs < fact.lifetimeMs ? fact : undefined;
  }

  /** The facts about one subject that hold, one for each origin. */
  public about(kind: membershipTypes.FactKind, subject: string): readonly membershipTypes.IFact[] {
    return [...(this.byTopic.get(topicOf(kind, subject)) ?? [])]
      .map((key) => this.get(key))
      .filter((fact) => fact !== undefined);
  }

  /**
   * Shares an observation of this daemon. Has no effect while an equal one, of any origin, is in
   * the first half of its lifetime: all daemons see a server drain at the same time, and one
   * fact is enough to tell the fleet.
   */
  public record(observation: membershipTypes.IObservation): void {
    const { kind, subject, details } = observation;
    const isKnown = this.about(kind, subject).some(
      (fact) =>
        fact.ageMs < fact.lifetimeMs / 2 &&
        details.every((detail) => fact.details.includes(detail)),
    );
    if (isKnown) return;
    this.sequence += 1;
    this.merge({ ...observation, origin: this.origin, sequence: this.sequence, ageMs: 0 });
  }

  /** Merges a fact that a peer sent. One that is not newer, has expired or is too long is dropped. */
  public merge(received: membershipTypes.IFact): void {
    const fact = { ...received, lifetimeMs: Math.min(received.lifetimeMs, MAX_LIFETIME_MS) };
    if (fact.ageMs >= fact.lifetimeMs || sizeOfFact(fact) > MAX_FACT_BYTES) return;
    this.removeExpired();
    const key = keyOf(fact);
    const known = this.entries.get(key);
    if (known !== undefined && known.fact.sequence >= fact.sequence) return;
    // A clock that was set back at a restart must not make this daemon's facts look old.
    if (fact.origin === this.origin) this.sequence = Math.max(this.sequence, fact.sequence);
    const isFirstForSubject = this.about(fact.kind, fact.subject).length === 0;
    this.remove(key);
    this.insert(key, fact);
    if (this.entries.size > MAX_FACTS) this.evictOldest();
    this.addedEmitter.fire({ key, fact, isFirstForSubject });
  }

  private insert(key: string, fact: membershipTypes.IFact): void {
    this.entries.set(key, { fact, receivedAtMs: this.clock.monotonicMs() });
    const topic = topicOf(fact.kind, fact.subject);
    const keys = this.byTopic.get(topic) ?? new Set();
    keys.add(key);
    this.byTopic.set(topic, keys);
  }

  private remove(key: string): void {
    const entry = this.entries.get(key);
    if (entry === undefined) return;
    this.entries.delete(key);
    const topic = topicOf(entry.fact.kind, entry.fact.subject);
    const keys = this.byTopic.get(topic);
    keys?.delete(key);
    if (keys?.size === 0) this.byTopic.delete(topic);
  }

  private discard(key: string): void {
    this.remove(key);
    this.removedEmitter.fire(key);
  }

  private evictOldest(): void {
    const [oldest] = this.entries.keys();
    if (oldest !== undefined) this.discard(oldest);
  }

  private removeExpired(): void {
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.lastExpiryAtMs < EXPIRY_INTERVAL_MS) return;
    this.lastExpiryAtMs = nowMs;
    this.entries.forEach((entry, key) => {
      const { ageMs, lifetimeMs } = this.withCurrentAge(entry);
      if (ageMs >= lifetimeMs + TOMBSTONE_LIFETIME_MS) this.discard(key);
    });
  }

  private withCurrentAge(entry: IEntry): membershipTypes.IFact {
    const heldMs = Math.floor(this.clock.monotonicMs() - entry.receivedAtMs);
    return { ...entry.fact, ageMs: entry.fact.ageMs + heldMs };
  }
}
