import * as factStore from './FactStore';
import * as messageComposer from './MessageComposer';
import type * as membershipTypes from './Types';

/** Number of details from which on a fact waits for the budget, in place of a regular exchange. */
const DECISIVE_DETAILS = 2;

/** A fact with its key in the store. */
export interface IUrgentFact {
  readonly key: string;
  readonly fact: membershipTypes.IFact;
}

/**
 * Facts to be pushed to peers outside of the regular exchanges, those with most details first: of the
 * facts about a request that crashes servers they decide, and a server that ends with many requests
 * in flight causes more facts with one detail than the budget allows.
 */
export class UrgentFacts {
  private keys = new Set<string>();

  public constructor(private readonly facts: Pick<factStore.FactStore, 'get'>) {}

  public get isEmpty(): boolean {
    return this.keys.size === 0;
  }

  /** @param key Key of the fact in the store. */
  public add(key: string): void {
    this.keys.add(key);
  }

  /** Returns the facts for a message of at most `maxBytes`, or the first one if even it is larger. */
  public select(maxBytes: number): readonly IUrgentFact[] {
    let leftBytes = maxBytes - messageComposer.EMPTY_MESSAGE_BYTES;
    return this.sorted.filter(({ fact }, index) => {
      leftBytes -= factStore.sizeOfFact(fact);
      return leftBytes >= 0 || index === 0;
    });
  }

  /** Removes the facts that were sent, and those that can wait for the next regular exchange. */
  public remove(sent: readonly IUrgentFact[]): void {
    const sentKeys = new Set(sent.map(({ key }) => key));
    const kept = this.sorted.filter(
      ({ key, fact }) => fact.details.length >= DECISIVE_DETAILS && !sentKeys.has(key),
    );
    this.keys = new Set(kept.map(({ key }) => key));
  }

  private get sorted(): readonly IUrgentFact[] {
    return [...this.keys]
      .flatMap((key) => {
        const fact = this.facts.get(key);
        return fact === undefined ? [] : [{ key, fact }];
      })
      .sort((left, right) => right.fact.details.length - left.fact.details.length);
  }
}
