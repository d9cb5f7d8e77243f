import * as answerSize from '../../common/keys/AnswerSize';
import type * as keyAuthority from '../../common/keys/KeyAuthority';
import * as requestKeyCodec from '../../common/keys/RequestKeyCodec';
import type * as keyTypes from '../../common/keys/Types';
import type * as types from '../../common/Types';
import * as backoff from './Backoff';
import * as keyMessages from './KeyMessages';
import type * as gatewayTypes from './Types';

/** A part exceeds this by at most one answer of 1 MB, so it stays below the 4 MB limit of gRPC. */
const MAX_PART_BYTES = 1_024 * 1_024;
const RECORD_OVERHEAD_BYTES = 512;
const MAX_BACKOFF_ROUND = 5;

/** The process that takes over the keys of a stopping daemon. */
export interface ISuccessor {
  readonly address: string;
  readonly incarnation: number;
}

/** Result of handing over the keys of a stopping daemon. */
export type HandOverResult =
  /** Announce the fact `keys-moved` for each of `issuers`, with `successor` as its detail. */
  | {
      readonly kind: 'handed-over';
      readonly successor: string;
      readonly issuers: readonly string[];
    }
  /** `successor` may still have taken over the keys, so announce the same facts. */
  | {
      readonly kind: 'failed';
      readonly successor: string;
      readonly issuers: readonly string[];
      readonly detail: string;
    };

function sizeOf(record: keyTypes.IKeyRecord): number {
  const { outcome } = record;
  const answer = outcome?.kind === 'answered' ? outcome.answer : undefined;
  return RECORD_OVERHEAD_BYTES + (answer === undefined ? 0 : answerSize.answerSize(answer));
}

function splitIntoGroups(records: readonly keyTypes.IKeyRecord[]): keyTypes.IKeyRecord[][] {
  const groups: keyTypes.IKeyRecord[][] = [[]];
  let bytes = 0;
  records.forEach((record) => {
    if (bytes >= MAX_PART_BYTES) {
      groups.push([]);
      bytes = 0;
    }
    groups.at(-1)?.push(record);
    bytes += sizeOf(record);
  });
  return groups;
}

/** Transfers the authority over keys to one successor during a graceful shutdown. */
export class KeyHandOver {
  public constructor(
    private readonly authority: keyAuthority.KeyAuthority,
    private readonly peers: gatewayTypes.IKeyPeers,
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
  ) {}

  /**
   * Closes the authority permanently, then sends all its state to `successor`. An unacknowledged
   * part is resent to the same process until `timeLimitMs` has passed, and never to another one:
   * the acknowledgement may have been lost after the successor took over.
   */
  public async run(successor: ISuccessor, timeLimitMs: number): Promise<HandOverResult> {
    const endMs = this.clock.monotonicMs() + timeLimitMs;
    this.authority.close();
    const issuers: string[] = [];
    const transfers = this.authority.transfers();
    for (let index = 0; index < transfers.length; index += 1) {
      const transfer = transfers[index] as keyTypes.IKeyTransfer;
      issuers.push(requestKeyCodec.RequestKeyCodec.encodeIssuer(transfer.issuer));

      const error = await this.sendTransfer(transfer, successor, endMs);
      if (error !== undefined) {
        return { kind: 'failed', successor: successor.address, issuers, detail: error };
      }
    }
    return { kind: 'handed-over', successor: successor.address, issuers };
  }

  private async sendTransfer(
    transfer: keyTypes.IKeyTransfer,
    successor: ISuccessor,
    endMs: number,
  ): Promise<string | undefined> {
    const groups = splitIntoGroups(transfer.records);
    for (let part = 0; part < groups.length; part += 1) {
      const records = groups[part] as keyTypes.IKeyRecord[];
      const last = part === groups.length - 1;
      const successorIncarnation = successor.incarnation;
      const message = { ...transfer, records, part, last, successorIncarnation };
      const request = keyMessages.toHandOverRequest(message);

      const error = await this.sendPart(successor.address, request, endMs);
      if (error !== undefined) return error;
    }
    return undefined;
  }

  private async sendPart(
    address: string,
    request: Parameters<gatewayTypes.IKeyPeers['handOverKeys']>[1],
    endMs: number,
  ): Promise<string | undefined> {
    for (let round = 1; ; round += 1) {
      const reply = await this.peers.handOverKeys(address, request);
      if (reply.ok && reply.value.accepted) return undefined;
      if (reply.ok) return `${address} refused the keys`;
      const delayMs = backoff.delayMs(Math.min(round, MAX_BACKOFF_ROUND), this.random);
      if (this.clock.monotonicMs() + delayMs >= endMs) return `${address}: ${reply.error.message}`;

      await backoff.wait(this.clock, delayMs);
    }
  }
}
