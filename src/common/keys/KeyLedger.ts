import * as requestKeyCodec from './RequestKeyCodec';
import type * as keyTypes from './Types';

/** Records are dropped in groups of keys issued within this time of one another. */
const BUCKET_MS = 10_000;

/** A record as held: a stored answer is in the cache of the authority, and not here. */
export interface ILedgerEntry {
  readonly attempt: string;
  readonly fingerprint: string;
  readonly issuedAtMs: number;
  outcome: keyTypes.KeyOutcome['kind'] | undefined;
}

/** The records of the keys that one process issued, on the clock of that process. */
export class KeyLedger {
  /** Name of the issuing process. */
  public readonly name: string;

  private readonly buckets = new Map<number, Map<number, ILedgerEntry>>();

  /** No key was issued after this time on the issuer's clock. */
  public lastIssueMs = Number.NEGATIVE_INFINITY;

  private nextSweepMs = 0;

  private count = 0;

  /**
   * @param issuer The process that issued the keys.
   * @param secret Key of the authentication codes.
   * @param epochMs Time on this process's monotonic clock at which the issuer's clock shows 0.
   */
  public constructor(
    public readonly issuer: keyTypes.IKeyIssuer,
    public readonly secret: Uint8Array,
    private readonly epochMs: number,
    private readonly lifetimeMs: number,
  ) {
    this.name = requestKeyCodec.RequestKeyCodec.encodeIssuer(issuer);
  }

  public get size(): number {
    return this.count;
  }

  /** Converts a time of this process into a time on the issuer's clock. */
  public issuerTimeMs(monotonicMs: number): number {
    return monotonicMs - this.epochMs;
  }

  public isExpired(issuedAtMs: number, nowMs: number): boolean {
    return nowMs - issuedAtMs >= this.lifetimeMs;
  }

  public find(
    key: Pick<keyTypes.IRequestKey, 'sequence' | 'issuedAtMs'>,
  ): ILedgerEntry | undefined {
    return this.buckets.get(Math.floor(key.issuedAtMs / BUCKET_MS))?.get(key.sequence);
  }

  public add(sequence: number, record: ILedgerEntry): void {
    const bucketIndex = Math.floor(record.issuedAtMs / BUCKET_MS);
    const bucket = this.buckets.get(bucketIndex) ?? new Map<number, ILedgerEntry>();
    bucket.set(sequence, record);
    this.buckets.set(bucketIndex, bucket);
    this.count += 1;
  }

  /**
   * Drops the groups in which every key has expired. Later claims of these keys are refused by
   * their issue time, so the records are not needed.
   */
  public dropExpired(nowMs: number): void {
    if (nowMs < this.nextSweepMs) return;
    this.nextSweepMs = nowMs + BUCKET_MS;
    [...this.buckets].forEach(([bucketIndex, bucket]) => {
      const endMs = (bucketIndex + 1) * BUCKET_MS;
      if (!this.isExpired(endMs, nowMs)) return;
      this.buckets.delete(bucketIndex);
      this.count -= bucket.size;
    });
  }

  public entries(): [number, ILedgerEntry][] {
    return [...this.buckets.values()].flatMap((bucket) => [...bucket]);
  }
}
