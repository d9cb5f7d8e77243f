import type * as types from '../Types';
import * as requestKeyCodec from './RequestKeyCodec';
import type * as keyTypes from './Types';

/** A hand-over in which no part arrives for this long is given up. */
const IDLE_LIMIT_MS = 60_000;

/** What became of a received part. */
export type PartReceipt =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'refused' }
  | { readonly kind: 'complete'; readonly records: readonly keyTypes.IKeyRecord[] };

interface PendingTakeOver {
  readonly records: keyTypes.IKeyRecord[];
  nextPart: number;
  lastReceivedMs: number;
}

/** Collects the parts of hand-overs until they are complete. */
export class KeyTakeOver {
  private readonly pending = new Map<string, PendingTakeOver>();

  public constructor(private readonly clock: types.IClock) {}

  /**
   * Adds a part. Parts must arrive in order; one that arrives again is accepted without effect.
   * @param freeClaims Number of records for which there is room.
   */
  public receive(part: keyTypes.IKeyTransferPart, freeClaims: number): PartReceipt {
    this.giveUpIdle();
    const name = requestKeyCodec.RequestKeyCodec.encodeIssuer(part.issuer);
    const found = this.pending.get(name) ?? { records: [], nextPart: 0, lastReceivedMs: 0 };
    if (part.part < found.nextPart) return { kind: 'accepted' };
    if (part.part > found.nextPart) return { kind: 'refused' };
    if (this.pendingRecordCount() + part.records.length > freeClaims) return { kind: 'refused' };
    part.records.forEach((record) => found.records.push(record));
    found.nextPart += 1;
    found.lastReceivedMs = this.clock.monotonicMs();
    if (!part.last) {
      this.pending.set(name, found);
      return { kind: 'accepted' };
    }
    this.pending.delete(name);
    return { kind: 'complete', records: found.records };
  }

  private pendingRecordCount(): number {
    return [...this.pending.values()].reduce((total, { records }) => total + records.length, 0);
  }

  private giveUpIdle(): void {
    const nowMs = this.clock.monotonicMs();
    [...this.pending]
      .filter(([, pending]) => nowMs - pending.lastReceivedMs >= IDLE_LIMIT_MS)
      .forEach(([name]) => this.pending.delete(name));
  }
}
