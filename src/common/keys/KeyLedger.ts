import * as requestKeyCodec from './RequestKeyCodec';
import type * as keyTypes from './Types';

/** Records are dropped in groups of keys issued within this time of one another. */
const GROUP_MS = 10_000;

/** A record as held: a stored answer is in the cache of the authority, and not here. */
export interface IHeldRecord {
  readonly attempt: string;
  readonly fingerprint: string;
  readonly issuedAtMs: number;
  outcome: keyTypes.KeyOutcome['kind'] | undefined;
}

/** The records of the keys that one process issued, on the clock of that process. */
export class KeyLedger {
  /** Name of the issuing process. */
  public readonly name: string;

  private readonly groups = new Map<number, Map<number, IHeldRecord>>();

  /** No key was issued after this time on the issuer's clock. */
  public lastIssueMs = Number.NEGATIVE_INFINITY;

  private nextDropMs = 0;

  private count = 0;

  /**
   * @param issuer The process that issued the keys.
   * @param secret Key of the authentication codes.
   * @param originMs Time on this process's monotonic clock at which the issuer's clock shows 0.
   */
  public constructor(
    public readonly issuer: keyTypes.IKeyIssuer,
    public readonly secret: Uint8Array,
    private readonly originMs: number,
    private readonly lifetimeMs: number,
  ) {
    this.name = requestKeyCodec.RequestKeyCodec.encodeIssuer(issuer);
  }

  public get size(): number {
    return this.count;
  }

  /** Converts a time of this process into a time on the issuer's clock. */
  public issuerTimeMs(monotonicMs: number): number {
    return monotonicMs - this.originMs;
  }

  public isExpired(issuedAtMs: number, nowMs: number): boolean {
    return nowMs - issuedAtMs >= this.lifetimeMs;
  }

  public find(key: Pick<keyTypes.IRequestKey, 'sequence' | 'issuedAtMs'>): IHeldRecord | undefined {
    return this.groups.get(Math.floor(key.issuedAtMs / GROUP_MS))?.get(key.sequence);
  }

  public add(sequence: number, record: IHeldRecord): void {
    const groupNumber = Math.floor(record.issuedAtMs / GROUP_MS);
    const group = this.groups.get(groupNumber) ?? new Map<number, IHeldRecord>();
    group.set(sequence, record);
    this.groups.set(groupNumber, group);
    this.count += 1;
  }

  /**
   * Drops the groups in which every key has expired. Later claims of these keys are refused by
   * their issue time, so the records are not needed.
   */
  public dropExpired(nowMs: number): void {
    if (nowMs < this.nextDropMs) return;
    this.nextDropMs = nowMs + GROUP_MS;
    [...this.groups].forEach(([groupNumber, group]) => {
      const endMs = (groupNumber + 1) * GROUP_MS;
      if (!this.isExpired(endMs, nowMs)) return;
      this.groups.delete(groupNumber);
      this.count -= group.size;
    });
  }

  public entries(): [number, IHeldRecord][] {
    return [...this.groups.values()].flatMap((group) => [...group]);
  }
}
