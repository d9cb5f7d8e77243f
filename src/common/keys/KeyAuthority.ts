import * as lruCache from 'lru-cache';

import type * as callTypes from '../call/Types';
import type * as types from '../Types';
import * as answerSize from './AnswerSize';
import * as keyLedger from './KeyLedger';
import * as keyTransferAssembler from './KeyTransferAssembler';
import * as requestKeyCodec from './RequestKeyCodec';
import type * as keyTypes from './Types';

const MAX_KEYS_PER_ISSUE = 1_000;

export const DEFAULT_LIMITS: keyTypes.IKeyLimits = {
  lifetimeMs: 15 * 60 * 1_000,
  maxClaims: 100_000,
  maxCachedAnswerBytes: 32 * 1_024 * 1_024,
  maxStoredAnswerBytes: 1_024 * 1_024,
};

function cacheKeyOf(ledger: keyLedger.KeyLedger, sequence: number): string {
  return `${ledger.name}/${sequence}`;
}

/**
 * Issues request keys and decides which attempt may run the request of each. It decides on the
 * keys that this process issued, and on those of predecessors whose authority it took over. No
 * other process decides on them, so a key is granted to at most one attempt.
 */
export class KeyAuthority {
  private readonly ownLedger: keyLedger.KeyLedger;

  private readonly ledgers = new Map<string, keyLedger.KeyLedger>();

  private readonly transferAssembler: keyTransferAssembler.KeyTransferAssembler;

  private readonly answers: lruCache.LRUCache<string, callTypes.IAnswer>;

  private nextSequence = 0;

  private closedAtMs: number | undefined;

  /**
   * @param issuer This process. The incarnation must differ from that of any earlier process at
   * the same address.
   * @param secret Random bytes, drawn by this process.
   */
  public constructor(
    private readonly issuer: keyTypes.IKeyIssuer,
    secret: Uint8Array,
    private readonly clock: types.IClock,
    private readonly limits: keyTypes.IKeyLimits = DEFAULT_LIMITS,
  ) {
    this.ownLedger = new keyLedger.KeyLedger(
      issuer,
      secret,
      clock.monotonicMs(),
      limits.lifetimeMs,
    );
    this.ledgers.set(this.ownLedger.name, this.ownLedger);
    this.transferAssembler = new keyTransferAssembler.KeyTransferAssembler(
      clock,
      limits.maxCachedAnswerBytes,
    );
    this.answers = new lruCache.LRUCache({
      maxSize: limits.maxCachedAnswerBytes,
      sizeCalculation: answerSize.answerSize,
    });
  }

  /** Names of the issuing processes whose keys this process decides on. */
  public get issuers(): readonly string[] {
    return [...this.ledgers.keys()];
  }

  /** Number of claims held. */
  public get claimCount(): number {
    return [...this.ledgers.values()].reduce((total, ledger) => total + ledger.size, 0);
  }

  /** Issues `count` keys, from 1 to 1000. */
  public issue(count: number): types.Result<readonly string[], keyTypes.IssueRefusal> {
    if (!Number.isInteger(count) || count < 1 || count > MAX_KEYS_PER_ISSUE) {
      return { ok: false, error: { kind: 'invalid-count', found: count } };
    }
    if (this.closedAtMs !== undefined) return { ok: false, error: { kind: 'closed' } };
    if (this.isFull()) return { ok: false, error: { kind: 'too-many-claims' } };
    const keys = Array.from({ length: count }, () => this.issueKey());
    return { ok: true, value: keys };
  }

  /**
   * Records that `attempt` runs the request of a key. The first attempt is granted the key, and is
   * granted it again until it completes, because the reply to a claim can be lost.
   * @param fingerprint Hash of the request. A key is valid for one request only.
   */
  public claim(keyText: string, attempt: string, fingerprint: string): keyTypes.ClaimVerdict {
    const decoded = requestKeyCodec.RequestKeyCodec.decode(keyText);
    if (!decoded.ok) return { kind: 'invalid-key' };
    const key = decoded.value;
    const ledger = this.ledgerOf(key);
    if (ledger === undefined || this.closedAtMs !== undefined) return { kind: 'not-issuer' };
    if (!requestKeyCodec.RequestKeyCodec.verify(key, ledger.secret)) return { kind: 'invalid-key' };
    const nowMs = ledger.issuerTimeMs(this.clock.monotonicMs());
    if (ledger.isExpired(key.issuedAtMs, nowMs)) return { kind: 'expired-key' };
    const record = ledger.find(key);
    if (record !== undefined) {
      return this.verdictOn(cacheKeyOf(ledger, key.sequence), record, attempt, fingerprint);
    }
    if (this.isFull()) return { kind: 'too-many-claims' };
    const { issuedAtMs } = key;
    ledger.add(key.sequence, { attempt, fingerprint, issuedAtMs, outcome: undefined });
    return { kind: 'granted' };
  }

  /**
   * Records the outcome of the attempt that holds the claim of a key. The first outcome is final.
   * @returns Whether the outcome is recorded, now or by an earlier message.
   */
  public complete(keyText: string, attempt: string, outcome: keyTypes.KeyOutcome): boolean {
    const decoded = requestKeyCodec.RequestKeyCodec.decode(keyText);
    if (!decoded.ok || this.closedAtMs !== undefined) return false;
    const key = decoded.value;
    const ledger = this.ledgerOf(key);
    if (ledger === undefined) return false;
    if (!requestKeyCodec.RequestKeyCodec.verify(key, ledger.secret)) return false;
    const record = ledger.find(key);
    if (record?.attempt !== attempt) return false;
    if (record.outcome !== undefined) return record.outcome === outcome.kind;
    record.outcome = outcome.kind;
    if (outcome.kind === 'answered')
      this.cacheAnswer(cacheKeyOf(ledger, key.sequence), outcome.answer);
    return true;
  }

  /** Stops issuing and granting for ever, so that a successor can take over. */
  public close(): void {
    this.closedAtMs ??= this.clock.monotonicMs();
  }

  /**
   * What a successor needs to take over. Empty until this authority is closed. Leaves out issuers
   * whose keys have all expired, so that repeated hand-overs do not accumulate them.
   */
  public transfers(): readonly keyTypes.IKeyTransfer[] {
    const { closedAtMs } = this;
    if (closedAtMs === undefined) return [];
    const live = [...this.ledgers.values()].filter(
      (ledger) => !ledger.isExpired(ledger.lastIssueMs, ledger.issuerTimeMs(closedAtMs)),
    );
    return live.map((ledger) => ({
      issuer: ledger.issuer,
      secret: ledger.secret,
      // Rounded up, because messages carry whole milliseconds and the time must not go back.
      issuerClockMs: Math.ceil(ledger.issuerTimeMs(closedAtMs)),
      nextSequence: ledger === this.ownLedger ? this.nextSequence : 0,
      records: ledger.entries().map(([sequence, entry]) => this.toRecord(ledger, sequence, entry)),
    }));
  }

  /**
   * Receives a part of a predecessor's authority, and decides on its keys once the last part is
   * there. A part that is received again has no effect.
   * @returns Whether the part is accepted, now or by an earlier message.
   */
  public takeOver(part: keyTypes.IKeyTransferPart): boolean {
    if (this.closedAtMs !== undefined) return false;
    const name = requestKeyCodec.RequestKeyCodec.encodeIssuer(part.issuer);
    if (name === this.ownLedger.name) return false;
    if (part.successorIncarnation !== this.issuer.incarnation) return false;
    // A ledger is kept for the life of the process. A predecessor that resumes after a long pause
    // may send its parts again, and records made since then must not be replaced.
    if (this.ledgers.has(name)) return true;
    const freeClaims = this.limits.maxClaims - this.claimCount;
    const received = this.transferAssembler.receive(part, freeClaims);
    if (received.kind !== 'complete') return received.kind === 'accepted';
    this.installLedger(part, received.records);
    return true;
  }

  private installLedger(
    transfer: keyTypes.IKeyTransfer,
    records: readonly keyTypes.IKeyRecord[],
  ): void {
    // The successor's view of the issuer's clock starts no earlier than any time at which the
    // issuer dropped a record, so the key of a dropped record stays expired.
    const originMs = this.clock.monotonicMs() - transfer.issuerClockMs;
    const { issuer, secret } = transfer;
    const ledger = new keyLedger.KeyLedger(issuer, secret, originMs, this.limits.lifetimeMs);
    records.forEach(({ sequence, attempt, fingerprint, issuedAtMs, outcome }) => {
      ledger.add(sequence, { attempt, fingerprint, issuedAtMs, outcome: outcome?.kind });
      if (outcome?.kind === 'answered')
        this.cacheAnswer(cacheKeyOf(ledger, sequence), outcome.answer);
    });
    ledger.lastIssueMs = transfer.issuerClockMs;
    this.ledgers.set(ledger.name, ledger);
  }

  private issueKey(): string {
    const issuedAtMs = Math.floor(this.ownLedger.issuerTimeMs(this.clock.monotonicMs()));
    const { address, incarnation } = this.issuer;
    const content = { issuer: address, incarnation, sequence: this.nextSequence, issuedAtMs };
    this.nextSequence += 1;
    this.ownLedger.lastIssueMs = issuedAtMs;
    const key = requestKeyCodec.RequestKeyCodec.sign(content, this.ownLedger.secret);
    return requestKeyCodec.RequestKeyCodec.encode(key);
  }

  private verdictOn(
    cacheKey: string,
    record: keyLedger.ILedgerEntry,
    attempt: string,
    fingerprint: string,
  ): keyTypes.ClaimVerdict {
    if (record.fingerprint !== fingerprint) return { kind: 'different-content' };
    if (record.outcome !== undefined) {
      return { kind: 'completed', outcome: this.toOutcome(cacheKey, record.outcome) };
    }
    return { kind: record.attempt === attempt ? 'granted' : 'in-progress' };
  }

  private toRecord(
    ledger: keyLedger.KeyLedger,
    sequence: number,
    entry: keyLedger.ILedgerEntry,
  ): keyTypes.IKeyRecord {
    const { attempt, fingerprint, issuedAtMs, outcome } = entry;
    const cacheKey = cacheKeyOf(ledger, sequence);
    const known = outcome === undefined ? undefined : this.toOutcome(cacheKey, outcome);
    return { sequence, issuedAtMs, attempt, fingerprint, outcome: known };
  }

  private toOutcome(cacheKey: string, kind: keyTypes.KeyOutcome['kind']): keyTypes.KeyOutcome {
    return kind === 'answered' ? { kind, answer: this.answers.get(cacheKey) } : { kind };
  }

  private cacheAnswer(cacheKey: string, answer: callTypes.IAnswer | undefined): void {
    if (answer === undefined || answerSize.answerSize(answer) > this.limits.maxStoredAnswerBytes)
      return;
    this.answers.set(cacheKey, answer);
  }

  private ledgerOf(key: keyTypes.IRequestKey): keyLedger.KeyLedger | undefined {
    const issuer = { address: key.issuer, incarnation: key.incarnation };
    return this.ledgers.get(requestKeyCodec.RequestKeyCodec.encodeIssuer(issuer));
  }

  private isFull(): boolean {
    const nowMs = this.clock.monotonicMs();
    this.ledgers.forEach((ledger) => ledger.dropExpired(ledger.issuerTimeMs(nowMs)));
    return this.claimCount >= this.limits.maxClaims;
  }
}
