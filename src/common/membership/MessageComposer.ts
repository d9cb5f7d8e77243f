import * as factStore from './FactStore';
import * as gossipQueue from './GossipQueue';
import * as memberRecords from './MemberRecords';
import type * as memberTable from './MemberTable';
import type * as membershipTypes from './Types';

/** Maximum size of an exchange message in each direction. */
export const MAX_MESSAGE_BYTES = 1_536;
/** Upper bound of the size of a message with only the sender's record, table version and hash. */
export const EMPTY_MESSAGE_BYTES = 180;
/** Id (4 bytes) and heartbeat (at most 3 bytes in the first 12 days, at two per second). */
export const HEARTBEAT_BYTES = 7;
/**
 * Shares of the space for records. Heartbeats get what facts and members leave, which is never less
 * than the remaining share, so that a burst of changes does not cause false suspicion.
 * Exception: member records that a peer requests may use all the space that facts leave.
 */
const FACT_SHARE = 0.3;
const MEMBER_SHARE = 0.3;
/** Part of the space for facts where changed facts have priority. The largest fact just fits. */
const CHANGED_FACT_SHARE = 2 / 3;
/** Space for unchanged member records, which are sent in rotation: two records. */
const MEMBER_ROTATION_BYTES = 160;
/**
 * Number of messages in which a changed record has priority. Peers also retransmit it, so a few are
 * enough to spread it. More would leave less space for heartbeats and cause more false suspicion.
 */
const TRANSMISSIONS_PER_CHANGE = 3;

/** Upper bound of the protobuf overhead: tags, lengths, and 9 bytes for each number. */
const MEMBER_OVERHEAD_BYTES = 40;

/** Returns an upper bound of the encoded size of a member record. */
export function sizeOfMember(record: membershipTypes.IMember): number {
  return MEMBER_OVERHEAD_BYTES + record.address.length + record.failureDomain.length;
}

/** Records of one message, apart from the sender's own record and table version. */
export interface IMessageRecords {
  readonly members: readonly membershipTypes.IMember[];
  readonly heartbeats: readonly membershipTypes.IHeartbeat[];
  readonly facts: readonly membershipTypes.IFact[];
}

/** Selects the records of each message to a peer. */
export class MessageComposer {
  private readonly memberQueue = new gossipQueue.GossipQueue(TRANSMISSIONS_PER_CHANGE);

  private readonly factQueue = new gossipQueue.GossipQueue(TRANSMISSIONS_PER_CHANGE);

  private readonly heartbeatQueue = new gossipQueue.GossipQueue(Infinity);

  public constructor(
    private readonly members: memberTable.MemberTable,
    private readonly facts: factStore.FactStore,
  ) {
    members.onChanged(({ kind, record }) => {
      if (kind === 'departed') this.removeMember(record.address);
      else this.memberQueue.markChanged(record.address);
    });
    members.onHeartbeat(({ address }) => this.heartbeatQueue.markChanged(address));
    facts.onAdded(({ key }) => this.factQueue.markChanged(key));
    facts.onRemoved((key) => this.factQueue.remove(key));
  }

  /**
   * Selects records for a message of at most `maxBytes`, the sender's own record included.
   * @param prefersMembers Whether member records take precedence over heartbeats.
   */
  public compose(maxBytes: number, prefersMembers: boolean): IMessageRecords {
    const limitBytes = Math.max(0, Math.min(maxBytes, MAX_MESSAGE_BYTES) - EMPTY_MESSAGE_BYTES);
    const facts = this.takeFacts(limitBytes * FACT_SHARE);
    const factBytes = facts.reduce((sum, fact) => sum + factStore.sizeOfFact(fact), 0);
    const memberLimitBytes = limitBytes * (FACT_SHARE + MEMBER_SHARE) - factBytes;
    const members = prefersMembers
      ? this.takeMembers(limitBytes - factBytes, limitBytes)
      : this.takeMembers(memberLimitBytes, MEMBER_ROTATION_BYTES);
    const memberBytes = members.reduce((sum, member) => sum + sizeOfMember(member), 0);
    const heartbeats = this.takeHeartbeats(limitBytes - factBytes - memberBytes, members);
    return { members, heartbeats, facts };
  }

  private removeMember(address: string): void {
    this.memberQueue.remove(address);
    this.heartbeatQueue.remove(address);
  }

  private takeFacts(limitBytes: number): membershipTypes.IFact[] {
    const limits = {
      totalBytes: limitBytes,
      changedBytes: limitBytes * CHANGED_FACT_SHARE,
      rotationBytes: limitBytes,
    };
    const keys = this.factQueue.take(limits, (key) => {
      const fact = this.facts.get(key);
      return fact === undefined ? 0 : factStore.sizeOfFact(fact);
    });
    return [...keys].map((key) => this.facts.get(key)).filter((fact) => fact !== undefined);
  }

  /** Returns the record of a member, or undefined if its heartbeat stopped advancing. */
  private currentRecordOf(address: string): membershipTypes.IMember | undefined {
    return this.members.hasRecentHeartbeat(address) ? this.members.recordOf(address) : undefined;
  }

  private takeMembers(limitBytes: number, rotationBytes: number): membershipTypes.IMember[] {
    const limits = { totalBytes: limitBytes, changedBytes: limitBytes, rotationBytes };
    const addresses = this.memberQueue.take(limits, (address) => {
      const record = this.currentRecordOf(address);
      return record === undefined ? 0 : sizeOfMember(record);
    });
    return [...addresses]
      .map((address) => this.members.recordOf(address))
      .filter((record) => record !== undefined);
  }

  private takeHeartbeats(
    limitBytes: number,
    sent: readonly membershipTypes.IMember[],
  ): membershipTypes.IHeartbeat[] {
    const sentAddresses = new Set(sent.map(({ address }) => address));
    const limits = { totalBytes: limitBytes, changedBytes: limitBytes, rotationBytes: limitBytes };
    const addresses = this.heartbeatQueue.take(limits, (address) => {
      const isIncluded = !sentAddresses.has(address) && this.currentRecordOf(address) !== undefined;
      return isIncluded ? HEARTBEAT_BYTES : 0;
    });
    return [...addresses]
      .map((address) => this.members.recordOf(address))
      .filter((record) => record !== undefined)
      .map((record) => ({
        id: memberRecords.heartbeatIdOf(record),
        heartbeat: record.heartbeat,
      }));
  }
}
