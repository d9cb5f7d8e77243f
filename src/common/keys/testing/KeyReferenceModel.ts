import type * as keyTypes from '../Types';

interface IClaim {
  readonly key: number;
  readonly attempt: string;
  readonly fingerprint: string;
  outcome: keyTypes.KeyOutcome | undefined;
}

/**
 * Reference model of the keys of one issuer and of the process that has authority over them. It
 * searches lists linearly and never shortens them: slow, but simple enough to verify by reading.
 */
export class KeyReferenceModel {
  /** Issue times of the keys, on the issuer's clock. */
  public readonly issueTimes: number[] = [];

  public readonly claims: IClaim[] = [];

  /** Process with the authority: 0 is the issuer, 1 its successor. */
  private authority: 0 | 1 | undefined = 0;

  private closedAtMs: number | undefined;

  private nowMs = 0;

  /** Time for which the issuer's clock was stopped, from the close to the take-over. */
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

  /** Returns undefined if either result is correct: the record of an expired key may be removed. */
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

  /** Ends the authority of the issuer. No process has it until the successor takes over. */
  public close(): void {
    if (this.authority !== 0) return;
    this.closedAtMs = this.nowMs;
    this.authority = undefined;
  }

  /** Returns whether the successor has the authority after the call. */
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
