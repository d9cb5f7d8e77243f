import * as factStore from './FactStore';
import * as gossipQueue from './GossipQueue';
import * as memberRules from './MemberRules';
import type * as memberTable from './MemberTable';
import type * as membershipTypes from './Types';

/** Size limit of an exchange message in each direction. */
export const MAX_MESSAGE_BYTES = 1_536;
/** Upper limit of the sender's own record with the version and hash of its table. */
export const BASE_BYTES = 180;
/** Identifier (4 bytes) and heartbeat (up to 3 bytes for 12 days at two a second). */
export const HEARTBEAT_BYTES = 7;
/**
 * Shares of the room that the base leaves. Heartbeats get what facts and members do not use, and
 * never less than the rest, so that a burst of news does not make members look silent.
 */
const FACT_SHARE = 0.3;
const MEMBER_SHARE = 0.3;
/** Part of the share of facts that is for the newest. The longest fact just fits. */
const NEWEST_FACTS = 2 / 3;
/** Room for the member records that did not change, in turn: two records. */
const OLD_MEMBER_BYTES = 160;
/**
 * How often a new record is sent first. Peers do the same, which spreads it; more would leave
 * less room for heartbeats and was measured to cause more false suspicion.
 */
const NEWEST_TIMES = 3;

/** Upper limit of protobuf overhead: tags and lengths, and 9 bytes for a number. */
const MEMBER_OVERHEAD_BYTES = 40;

/** Upper limit of the encoded size of a member record. */
export function sizeOfMember(record: membershipTypes.IMember): number {
  return MEMBER_OVERHEAD_BYTES + record.address.length + record.failureDomain.length;
}

/** The records of one message. The sender adds its own record and the version of its table. */
export interface IContents {
  readonly members: readonly membershipTypes.IMember[];
  readonly heartbeats: readonly membershipTypes.IHeartbeat[];
  readonly facts: readonly membershipTypes.IFact[];
}

/** Chooses the records of each message to a peer. */
export class MessageComposer {
  private readonly memberQueue = new gossipQueue.GossipQueue(NEWEST_TIMES);

  private readonly factQueue = new gossipQueue.GossipQueue(NEWEST_TIMES);

  private readonly heartbeatQueue = new gossipQueue.GossipQueue(Infinity);

  public constructor(
    private readonly members: memberTable.MemberTable,
    private readonly facts: factStore.FactStore,
  ) {
    members.onChanged(({ kind, record }) => {
      if (kind === 'departed') this.forgetMember(record.address);
      else this.memberQueue.touch(record.address);
    });
    members.onProgress(({ address }) => this.heartbeatQueue.touch(address));
    facts.onAdded(({ key }) => this.factQueue.touch(key));
    facts.onRemoved((key) => this.factQueue.remove(key));
  }

  /**
   * Chooses records for a message of at most `maxBytes`, the sender's own record included.
   * @param prefersMembers Whether member records take the place of heartbeats.
   */
  public compose(maxBytes: number, prefersMembers: boolean): IContents {
    const roomBytes = Math.max(0, Math.min(maxBytes, MAX_MESSAGE_BYTES) - BASE_BYTES);
    const facts = this.takeFacts(roomBytes * FACT_SHARE);
    const factBytes = facts.reduce((sum, fact) => sum + factStore.sizeOfFact(fact), 0);
    const memberRoomBytes = roomBytes * (FACT_SHARE + MEMBER_SHARE) - factBytes;
    const members = prefersMembers
      ? this.takeMembers(roomBytes - factBytes, roomBytes)
      : this.takeMembers(memberRoomBytes, OLD_MEMBER_BYTES);
    const memberBytes = members.reduce((sum, member) => sum + sizeOfMember(member), 0);
    const heartbeats = this.takeHeartbeats(roomBytes - factBytes - memberBytes, members);
    return { members, heartbeats, facts };
  }

  private forgetMember(address: string): void {
    this.memberQueue.remove(address);
    this.heartbeatQueue.remove(address);
  }

  private takeFacts(roomBytes: number): membershipTypes.IFact[] {
    const room = {
      totalBytes: roomBytes,
      newestBytes: roomBytes * NEWEST_FACTS,
      othersBytes: roomBytes,
    };
    const keys = this.factQueue.take(room, (key) => {
      const fact = this.facts.get(key);
      return fact === undefined ? 0 : factStore.sizeOfFact(fact);
    });
    return [...keys].map((key) => this.facts.get(key)).filter((fact) => fact !== undefined);
  }

  /** The record of a member without progress is old news, and is not passed on. */
  private progressing(address: string): membershipTypes.IMember | undefined {
    return this.members.isProgressing(address) ? this.members.recordOf(address) : undefined;
  }

  private takeMembers(roomBytes: number, othersBytes: number): membershipTypes.IMember[] {
    const room = { totalBytes: roomBytes, newestBytes: roomBytes, othersBytes };
    const addresses = this.memberQueue.take(room, (address) => {
      const record = this.progressing(address);
      return record === undefined ? 0 : sizeOfMember(record);
    });
    return [...addresses]
      .map((address) => this.members.recordOf(address))
      .filter((record) => record !== undefined);
  }

  private takeHeartbeats(
    roomBytes: number,
    sent: readonly membershipTypes.IMember[],
  ): membershipTypes.IHeartbeat[] {
    const sentAddresses = new Set(sent.map(({ address }) => address));
    const room = { totalBytes: roomBytes, newestBytes: roomBytes, othersBytes: roomBytes };
    const addresses = this.heartbeatQueue.take(room, (address) => {
      const isNeeded = !sentAddresses.has(address) && this.progressing(address) !== undefined;
      return isNeeded ? HEARTBEAT_BYTES : 0;
    });
    return [...addresses]
      .map((address) => this.members.recordOf(address))
      .filter((record) => record !== undefined)
      .map((record) => ({
        id: memberRules.identifierOf(record),
        heartbeat: record.heartbeat,
      }));
  }
}
