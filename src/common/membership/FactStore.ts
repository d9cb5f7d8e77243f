import * as emitter from '../Emitter';
import type * as types from '../Types';
import type * as membershipTypes from './Types';

export const MAX_FACTS = 2_000;
/** Longer lifetimes are shortened to this one, which is that of `keys-moved` facts. */
export const MAX_LIFETIME_MS = 900_000;
/**
 * An expired fact is kept as a tombstone for this long. The age of a fact does not include its time
 * on the network, so a late copy looks younger and would otherwise be accepted as a new fact.
 */
const TOMBSTONE_LIFETIME_MS = 10_000;
/** Removing expired facts scans all entries, which is too expensive for each message. */
const EXPIRY_INTERVAL_MS = 1_000;

/** A larger fact would not fit into the part of a message where changed facts have priority. */
export const MAX_FACT_BYTES = 270;
/** Upper bound of the protobuf overhead: tags, lengths, and 9 bytes for each number. */
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

function includesDetails(fact: membershipTypes.IFact, details: readonly string[]): boolean {
  return details.every((detail) => fact.details.includes(detail));
}

/** Returns an upper bound of the encoded size of a fact. */
export function sizeOfFact(fact: membershipTypes.IFact): number {
  const detailBytes = fact.details.reduce(
    (sum, detail) => sum + DETAIL_OVERHEAD_BYTES + detail.length,
    0,
  );
  return FACT_OVERHEAD_BYTES + fact.subject.length + fact.origin.length + detailBytes;
}

/** Stores the facts of the fleet. For each kind, subject and origin, only the newest is kept. */
export class FactStore {
  private readonly addedEmitter = new emitter.Emitter<membershipTypes.INewFact>();

  private readonly removedEmitter = new emitter.Emitter<string>();

  /** Ordered by the last change, oldest first. */
  private readonly entries = new Map<string, IEntry>();

  /** Keys of the entries for each pair of kind and subject. */
  private readonly byTopic = new Map<string, Set<string>>();

  private sequence: number;

  private lastExpiryAtMs: number;

  /** Fires for each fact added to the store, whether from this daemon or from a peer. */
  public readonly onAdded: types.Event<membershipTypes.INewFact> = this.addedEmitter.event;

  /** Fires with the key of each entry that is evicted or whose tombstone expired. */
  public readonly onRemoved: types.Event<string> = this.removedEmitter.event;

  /**
   * @param firstSequence Must be higher than any sequence used by earlier processes at `origin`,
   * because facts outlive the process that created them.
   */
  public constructor(
    private readonly origin: string,
    private readonly clock: types.IClock,
    firstSequence: number,
  ) {
    this.sequence = firstSequence;
    this.lastExpiryAtMs = clock.monotonicMs();
  }

  /** Number of entries, expired ones included. */
  public get size(): number {
    return this.entries.size;
  }

  /** Unexpired facts with their current age. */
  public get facts(): readonly membershipTypes.IFact[] {
    return [...this.entries.values()]
      .map((entry) => this.withCurrentAge(entry))
      .filter((fact) => fact.ageMs < fact.lifetimeMs);
  }

  /** Returns the fact for a key from `onAdded`, or undefined if it has expired. */
  public get(key: string): membershipTypes.IFact | undefined {
    const entry = this.entries.get(key);
    if (entry === undefined) return undefined;
    const fact = this.withCurrentAge(entry);
    return fact.ageMs < fact.lifetimeMs ? fact : undefined;
  }

  /** Returns the unexpired facts about a subject, one per origin. */
  public about(kind: membershipTypes.FactKind, subject: string): readonly membershipTypes.IFact[] {
    return [...(this.byTopic.get(topicOf(kind, subject)) ?? [])]
      .map((key) => this.get(key))
      .filter((fact) => fact !== undefined);
  }

  /**
   * Records an observation of this daemon. Has no effect while a fact of any origin that includes
   * its details is in the first half of its lifetime: all daemons observe a draining server at the
   * same time, and one fact is enough to inform the fleet.
   */
  public record(observation: membershipTypes.IObservation): void {
    const { kind, subject, details } = observation;
    const isKnown = this.about(kind, subject).some(
      (fact) => fact.ageMs < fact.lifetimeMs / 2 && includesDetails(fact, details),
    );
    if (isKnown) return;
    this.sequence += 1;
    this.merge({ ...observation, origin: this.origin, sequence: this.sequence, ageMs: 0 });
  }

  /** Merges a fact. One that has expired, is too large or is not newer is ignored. */
  public merge(received: membershipTypes.IFact): void {
    const fact = { ...received, lifetimeMs: Math.min(received.lifetimeMs, MAX_LIFETIME_MS) };
    if (fact.ageMs >= fact.lifetimeMs || sizeOfFact(fact) > MAX_FACT_BYTES) return;
    this.removeExpired();
    const key = keyOf(fact);
    const previous = this.entries.get(key);
    if (previous !== undefined && previous.fact.sequence >= fact.sequence) return;
    // After a restart with the clock set back, peers may hold higher sequences of this daemon,
    // which its new facts must exceed.
    if (fact.origin === this.origin) this.sequence = Math.max(this.sequence, fact.sequence);
    const isNews = !this.about(fact.kind, fact.subject).some((known) =>
      includesDetails(known, fact.details),
    );
    this.remove(key);
    this.insert(key, fact);
    if (this.entries.size > MAX_FACTS) this.evictOldest();
    this.addedEmitter.fire({ key, fact, isNews });
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
