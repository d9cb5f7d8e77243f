import * as requestKeyCodec from './RequestKeyCodec';
import type * as keyTypes from './Types';

/** Records are kept in buckets by the issue time of their keys, and removed by the bucket. */
const BUCKET_MS = 10_000;

/** Claim record in memory. A stored answer is kept in the cache of the authority instead. */
export interface ILedgerEntry {
  readonly attempt: string;
  readonly fingerprint: string;
  readonly issuedAtMs: number;
  outcome: keyTypes.KeyOutcome['kind'] | undefined;
}

/** Claim records for the keys of one issuer. Times are those of the issuer's clock. */
export class KeyLedger {
  /** Name of the issuing process. */
  public readonly issuerName: string;

  private readonly buckets = new Map<number, Map<number, ILedgerEntry>>();

  /** Latest time on the issuer's clock at which a key may have been issued. */
  public lastIssueMs = Number.NEGATIVE_INFINITY;

  private nextSweepMs = 0;

  private count = 0;

  /**
   * @param issuer Process that issued the keys.
   * @param secret HMAC secret of the authentication codes.
   * @param epochMs Time on this process's monotonic clock at which the issuer's clock shows 0.
   */
  public constructor(
    public readonly issuer: keyTypes.IKeyIssuer,
    public readonly secret: Uint8Array,
    private readonly epochMs: number,
    private readonly lifetimeMs: number,
  ) {
    this.issuerName = requestKeyCodec.RequestKeyCodec.encodeIssuer(issuer);
  }

  public get size(): number {
    return this.count;
  }

  /** Converts a monotonic time of this process to the issuer's clock. */
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

  public add(sequence: number, entry: ILedgerEntry): void {
    const bucketIndex = Math.floor(entry.issuedAtMs / BUCKET_MS);
    const bucket = this.buckets.get(bucketIndex) ?? new Map<number, ILedgerEntry>();
    bucket.set(sequence, entry);
    this.buckets.set(bucketIndex, bucket);
    this.count += 1;
  }

  /**
   * Removes the buckets in which every key has expired. Later claims of these keys are refused
   * because of their issue time, so the records are no longer needed.
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
