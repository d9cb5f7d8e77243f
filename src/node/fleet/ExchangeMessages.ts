import type * as gossipAgent from '../../common/membership/GossipAgent';
import type * as membershipTypes from '../../common/membership/Types';
import * as peer from '../peer/generated/peer';
import * as addresses from '../settings/Addresses';

/** Largest number in a field of 32 bits. */
const MAX_UINT32 = 2 ** 32 - 1;

const TO_WIRE: Record<membershipTypes.FactKind, peer.FactKind> = {
  draining: peer.FactKind.FACT_KIND_DRAINING,
  refusing: peer.FactKind.FACT_KIND_REFUSING,
  'suspect-request': peer.FactKind.FACT_KIND_SUSPECT_REQUEST,
  'keys-moved': peer.FactKind.FACT_KIND_KEYS_MOVED,
};

const FROM_WIRE = new Map(
  Object.entries(TO_WIRE).map(([kind, wire]) => [wire, kind as membershipTypes.FactKind]),
);

type WireInterest = Pick<peer.ExchangeRequest, 'wantsNotices' | 'wantsConfirmations'>;

function toWireInterest(interest: membershipTypes.NoticeInterest | undefined): WireInterest {
  if (interest === undefined) return {};
  return { wantsNotices: interest !== 'none', wantsConfirmations: interest === 'all' };
}

/** Limits an age: it grows after it was received, beyond what can be sent on. */
function toWireAge(ageMs: number | undefined): number | undefined {
  return ageMs === undefined ? undefined : Math.min(ageMs, MAX_UINT32);
}

function fromWireInterest(received: WireInterest): membershipTypes.NoticeInterest | undefined {
  if (received.wantsNotices === undefined) return undefined;
  if (!received.wantsNotices) return 'none';
  return (received.wantsConfirmations ?? true) ? 'all' : 'changes';
}

/** Converts a message to its wire format. */
export function toWire(message: gossipAgent.IExchangeMessage): peer.ExchangeRequest {
  return {
    sender: message.sender,
    tableVersion: message.table.version,
    tableHash: message.table.hash,
    members: [...message.members],
    facts: message.facts.map((fact) => ({
      ...fact,
      kind: TO_WIRE[fact.kind],
      details: [...fact.details],
    })),
    heartbeatIds: message.heartbeats.map(({ id }) => id),
    heartbeats: message.heartbeats.map(({ heartbeat }) => heartbeat),
    urgent: message.urgent,
    wantsMembers: message.wantsMembers,
    ...toWireInterest(message.noticeInterest),
    tableAgeMs: toWireAge(message.table.ageMs),
  };
}

/**
 * Omits facts of a kind that this version does not know, and those whose sequence the next fact of
 * their origin cannot exceed.
 */
function decodeFacts(records: readonly peer.FactRecord[]): membershipTypes.IFact[] {
  return records.flatMap((record) => {
    const kind = FROM_WIRE.get(record.kind);
    const canBeFollowed = kind !== undefined && record.sequence < Number.MAX_SAFE_INTEGER;
    return canBeFollowed ? [{ ...record, kind }] : [];
  });
}

/**
 * Whether a record names an address that can be connected to, and numbers that can be sent on: a
 * heartbeat also travels without its record, as a shorter number, and an incarnation may be raised.
 */
export function isUsable({ address, heartbeat, incarnation }: peer.MemberRecord): boolean {
  const isInRange = heartbeat <= MAX_UINT32 && incarnation < Number.MAX_SAFE_INTEGER;
  return isInRange && addresses.isAddress(address);
}

/**
 * Converts a message or a reply from its wire format, without the members whose record cannot be
 * used. Returns undefined if that of the sender cannot.
 */
export function fromWire(
  received: Omit<peer.ExchangeRequest, 'urgent'> & { readonly urgent?: boolean },
): gossipAgent.IExchangeMessage | undefined {
  if (received.sender === undefined || !isUsable(received.sender)) return undefined;
  return {
    sender: received.sender,
    table: {
      version: received.tableVersion,
      hash: received.tableHash,
      ageMs: received.tableAgeMs,
    },
    members: received.members.filter(isUsable),
    heartbeats: received.heartbeatIds.map((id, index) => ({
      id,
      heartbeat: received.heartbeats[index] ?? 0,
    })),
    facts: decodeFacts(received.facts),
    urgent: received.urgent ?? false,
    wantsMembers: received.wantsMembers,
    noticeInterest: fromWireInterest(received),
  };
}

/** Returns the encoded size of the message in bytes, without the framing of HTTP/2 and TCP. */
export function encodedSize(message: gossipAgent.IExchangeMessage): number {
  return peer.ExchangeRequest.encode(toWire(message)).finish().length;
}
