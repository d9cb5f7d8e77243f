import type * as keyTypes from '../Types';

interface IClaim {
  readonly key: number;
  readonly attempt: string;
  readonly fingerprint: string;
  outcome: keyTypes.KeyOutcome | undefined;
}

/**
 * The keys of one issuer and the process that decides on them, kept in plain lists that are searched
 * from the start and never shortened. Slow, and meant to be obviously right.
 */
export class KeyReferenceModel {
  /** Issue times of the keys, on the issuer's clock. */
  public readonly issueTimes: number[] = [];

  public readonly claims: IClaim[] = [];

  /** 0 is the issuer, 1 its successor. */
  private authority: 0 | 1 | undefined = 0;

  private closedAtMs: number | undefined;

  private nowMs = 0;

  /** The issuer's clock stands still from the close to the take-over. */
  private clockStoppedMs = 0;

  public constructor(private readonly lifetimeMs: number) {}

  public advance(durationMs: number): void {
    this.nowMs += durationMs;
  }

  public issue(count: number): boolean {
    if (this.authority !== 0) return false;
    for (let index = 0; index < count; index += 1) this.issueTimes.push(this.nowMs);
    return true;
  }

  public claim(
    process: number,
    key: number,
    attempt: string,
    fingerprint: string,
  ): keyTypes.ClaimVerdict {
    if (process !== this.authority) return { kind: 'not-issuer' };
    if (this.isExpired(key)) return { kind: 'expired-key' };
    const earlier = this.claims.find((claim) => claim.key === key);
    if (earlier === undefined) {
      this.claims.push({ key, attempt, fingerprint, outcome: undefined });
      return { kind: 'granted' };
    }
    if (earlier.fingerprint !== fingerprint) return { kind: 'different-content' };
    if (earlier.outcome !== undefined) return { kind: 'completed', outcome: earlier.outcome };
    return { kind: earlier.attempt === attempt ? 'granted' : 'in-progress' };
  }

  /** Undefined if the key has expired, when the record may or may not be there any more. */
  public complete(
    process: number,
    key: number,
    attempt: string,
    outcome: keyTypes.KeyOutcome,
  ): boolean | undefined {
    if (process !== this.authority) return false;
    const claim = this.claims.find((each) => each.key === key && each.attempt === attempt);
    if (claim === undefined) return false;
    if (this.isExpired(key)) return undefined;
    claim.outcome ??= outcome;
    return claim.outcome.kind === outcome.kind;
  }

  /** The issuer stops deciding; nobody decides until the successor takes over. */
  public close(): void {
    if (this.authority !== 0) return;
    this.closedAtMs = this.nowMs;
    this.authority = undefined;
  }

  /** Returns whether there was something to take over. */
  public takeOver(): boolean {
    if (this.closedAtMs === undefined || this.authority === 1) return this.authority === 1;
    const { closedAtMs } = this;
    if (this.issueTimes.every((issued) => closedAtMs - issued >= this.lifetimeMs)) return false;
    this.clockStoppedMs = this.nowMs - closedAtMs;
    this.authority = 1;
    return true;
  }

  public isExpired(key: number): boolean {
    const issuerNowMs = this.nowMs - this.clockStoppedMs;
    return issuerNowMs - (this.issueTimes[key] as number) >= this.lifetimeMs;
  }
}
