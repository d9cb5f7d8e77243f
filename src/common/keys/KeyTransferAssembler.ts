import type * as types from '../Types';
import * as answerSize from './AnswerSize';
import * as requestKeyCodec from './RequestKeyCodec';
import type * as keyTypes from './Types';

/** An incomplete hand-over is discarded after this time without a new part. */
const IDLE_TIMEOUT_MS = 60_000;

/** Result of receiving a part. */
export type PartReceipt =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'refused' }
  | { readonly kind: 'complete'; readonly records: readonly keyTypes.IKeyRecord[] };

interface IPendingTransfer {
  readonly records: keyTypes.IKeyRecord[];
  answerBytes: number;
  nextPart: number;
  lastReceivedMs: number;
}

/** Assembles the parts of hand-overs into complete transfers. */
export class KeyTransferAssembler {
  private readonly pending = new Map<string, IPendingTransfer>();

  /**
   * @param maxAnswerBytes Limit on the total size of the answers in pending transfers. Answers
   * beyond it are omitted; their outcomes are kept.
   */
  public constructor(
    private readonly clock: types.IClock,
    private readonly maxAnswerBytes: number,
  ) {}

  /**
   * Adds a part. Parts must arrive in order. A duplicate is accepted and has no effect.
   * @param freeClaims Number of records that the authority can still store.
   */
  public receive(part: keyTypes.IKeyTransferPart, freeClaims: number): PartReceipt {
    this.discardIdle();
    const issuerName = requestKeyCodec.RequestKeyCodec.encodeIssuer(part.issuer);
    const transfer = this.pending.get(issuerName) ?? {
      records: [],
      answerBytes: 0,
      nextPart: 0,
      lastReceivedMs: 0,
    };
    if (part.part < transfer.nextPart) return { kind: 'accepted' };
    if (part.part > transfer.nextPart) return { kind: 'refused' };
    if (this.pendingRecordCount() + part.records.length > freeClaims) return { kind: 'refused' };
    part.records.forEach((record) => this.addRecord(transfer, record));
    transfer.nextPart += 1;
    transfer.lastReceivedMs = this.clock.monotonicMs();
    if (!part.last) {
      this.pending.set(issuerName, transfer);
      return { kind: 'accepted' };
    }
    this.pending.delete(issuerName);
    return { kind: 'complete', records: transfer.records };
  }

  private addRecord(transfer: IPendingTransfer, record: keyTypes.IKeyRecord): void {
    const { outcome } = record;
    const answer = outcome?.kind === 'answered' ? outcome.answer : undefined;
    const size = answer === undefined ? 0 : answerSize.answerSize(answer);
    const otherBytes = [...this.pending.values()]
      .filter((each) => each !== transfer)
      .reduce((total, { answerBytes }) => total + answerBytes, 0);
    const isWithinLimit = otherBytes + transfer.answerBytes + size <= this.maxAnswerBytes;
    if (isWithinLimit) transfer.answerBytes += size;
    const isKept = isWithinLimit || answer === undefined;
    const kept = isKept ? outcome : ({ kind: 'answered', answer: undefined } as const);
    transfer.records.push({ ...record, outcome: kept });
  }

  private pendingRecordCount(): number {
    return [...this.pending.values()].reduce((total, { records }) => total + records.length, 0);
  }

  private discardIdle(): void {
    const nowMs = this.clock.monotonicMs();
    [...this.pending]
      .filter(([, transfer]) => nowMs - transfer.lastReceivedMs >= IDLE_TIMEOUT_MS)
      .forEach(([issuerName]) => this.pending.delete(issuerName));
  }
}
