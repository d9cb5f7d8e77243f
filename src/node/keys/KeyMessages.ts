import type * as callTypes from '../../common/call/Types';
import * as requestKeyCodec from '../../common/keys/RequestKeyCodec';
import type * as keyTypes from '../../common/keys/Types';
import * as peer from '../peer/generated/peer';
import * as sendableAnswers from '../peer/SendableAnswers';

const codec = requestKeyCodec.RequestKeyCodec;

function toStoredAnswer(answer: callTypes.IAnswer | undefined): peer.StoredAnswer | undefined {
  if (answer === undefined) return undefined;
  return { status: answer.status, headers: [...answer.headers], body: answer.body };
}

/** Returns an outcome with the answer in a message, or without it if callers can't be sent it. */
function answeredWith(answer: peer.StoredAnswer | undefined): keyTypes.KeyOutcome {
  const isUsable = answer !== undefined && sendableAnswers.isSendable(answer);
  return { kind: 'answered', answer: isUsable ? answer : undefined };
}

function toReply(
  verdict: peer.ClaimVerdict,
  answer?: callTypes.IAnswer | undefined,
): peer.ClaimKeyReply {
  return { verdict, answer: toStoredAnswer(answer) };
}

/** Converts a verdict into a reply message. */
export function toClaimReply(verdict: keyTypes.ClaimVerdict): peer.ClaimKeyReply {
  switch (verdict.kind) {
    case 'granted':
      return toReply(peer.ClaimVerdict.CLAIM_VERDICT_GRANTED);
    case 'in-progress':
      return toReply(peer.ClaimVerdict.CLAIM_VERDICT_IN_PROGRESS);
    case 'different-content':
      return toReply(peer.ClaimVerdict.CLAIM_VERDICT_DIFFERENT_CONTENT);
    case 'invalid-key':
      return toReply(peer.ClaimVerdict.CLAIM_VERDICT_INVALID_KEY);
    case 'expired-key':
      return toReply(peer.ClaimVerdict.CLAIM_VERDICT_EXPIRED_KEY);
    case 'too-many-claims':
      return toReply(peer.ClaimVerdict.CLAIM_VERDICT_TOO_MANY_CLAIMS);
    case 'not-issuer':
      return toReply(peer.ClaimVerdict.CLAIM_VERDICT_NOT_AUTHORITY);
    case 'completed':
      break;
  }
  const { outcome } = verdict;
  if (outcome.kind === 'answered') {
    return toReply(peer.ClaimVerdict.CLAIM_VERDICT_ANSWERED, outcome.answer);
  }
  return outcome.kind === 'not-run'
    ? toReply(peer.ClaimVerdict.CLAIM_VERDICT_NOT_RUN)
    : toReply(peer.ClaimVerdict.CLAIM_VERDICT_UNKNOWN_OUTCOME);
}

/** Converts a reply message into a verdict. Returns undefined for an unrecognized one. */
export function fromClaimReply(reply: peer.ClaimKeyReply): keyTypes.ClaimVerdict | undefined {
  switch (reply.verdict) {
    case peer.ClaimVerdict.CLAIM_VERDICT_GRANTED:
      return { kind: 'granted' };
    case peer.ClaimVerdict.CLAIM_VERDICT_IN_PROGRESS:
      return { kind: 'in-progress' };
    case peer.ClaimVerdict.CLAIM_VERDICT_ANSWERED:
      return { kind: 'completed', outcome: answeredWith(reply.answer) };
    case peer.ClaimVerdict.CLAIM_VERDICT_NOT_RUN:
      return { kind: 'completed', outcome: { kind: 'not-run' } };
    case peer.ClaimVerdict.CLAIM_VERDICT_UNKNOWN_OUTCOME:
      return { kind: 'completed', outcome: { kind: 'unknown' } };
    case peer.ClaimVerdict.CLAIM_VERDICT_DIFFERENT_CONTENT:
      return { kind: 'different-content' };
    case peer.ClaimVerdict.CLAIM_VERDICT_INVALID_KEY:
      return { kind: 'invalid-key' };
    case peer.ClaimVerdict.CLAIM_VERDICT_EXPIRED_KEY:
      return { kind: 'expired-key' };
    case peer.ClaimVerdict.CLAIM_VERDICT_TOO_MANY_CLAIMS:
      return { kind: 'too-many-claims' };
    case peer.ClaimVerdict.CLAIM_VERDICT_NOT_AUTHORITY:
      return { kind: 'not-issuer' };
    default:
      return undefined;
  }
}

/** Converts an outcome into message fields. */
export function toOutcomeFields(
  outcome: keyTypes.KeyOutcome | undefined,
): Pick<peer.CompleteKeyRequest, 'outcome' | 'answer'> {
  switch (outcome?.kind) {
    case 'answered':
      return {
        outcome: peer.KeyOutcome.KEY_OUTCOME_ANSWERED,
        answer: toStoredAnswer(outcome.answer),
      };
    case 'not-run':
      return { outcome: peer.KeyOutcome.KEY_OUTCOME_NOT_RUN, answer: undefined };
    case 'unknown':
      return { outcome: peer.KeyOutcome.KEY_OUTCOME_UNKNOWN, answer: undefined };
    default:
      return { outcome: peer.KeyOutcome.KEY_OUTCOME_UNSPECIFIED, answer: undefined };
  }
}

/** Converts message fields into an outcome. Returns undefined if it is missing or unrecognized. */
export function fromOutcomeFields(
  fields: Pick<peer.CompleteKeyRequest, 'outcome' | 'answer'>,
): keyTypes.KeyOutcome | undefined {
  switch (fields.outcome) {
    case peer.KeyOutcome.KEY_OUTCOME_ANSWERED:
      return answeredWith(fields.answer);
    case peer.KeyOutcome.KEY_OUTCOME_NOT_RUN:
      return { kind: 'not-run' };
    case peer.KeyOutcome.KEY_OUTCOME_UNKNOWN:
      return { kind: 'unknown' };
    default:
      return undefined;
  }
}

/** Converts a part of a hand-over into a message. */
export function toHandOverRequest(part: keyTypes.IKeyTransferPart): peer.HandOverKeysRequest {
  const { address, incarnation } = part.issuer;
  const records = part.records.map(({ sequence, issuedAtMs, attempt, fingerprint, outcome }) => {
    const content = { issuer: address, incarnation, sequence, issuedAtMs };
    const key = codec.encode(codec.sign(content, part.secret));
    return { key, attempt, fingerprint, ...toOutcomeFields(outcome) };
  });
  return {
    issuer: codec.encodeIssuer(part.issuer),
    secret: part.secret,
    issuerClockMs: part.issuerClockMs,
    nextSequence: part.nextSequence,
    records,
    last: part.last,
    part: part.part,
    successorIncarnation: part.successorIncarnation,
  };
}

function fromKeyRecord(
  record: peer.KeyRecord,
  issuer: keyTypes.IKeyIssuer,
): keyTypes.IKeyRecord | undefined {
  const decoded = codec.decode(record.key);
  if (!decoded.ok) return undefined;
  const { sequence, issuedAtMs } = decoded.value;
  const issuerMatches =
    decoded.value.issuer === issuer.address && decoded.value.incarnation === issuer.incarnation;
  if (!issuerMatches) return undefined;
  const { attempt, fingerprint } = record;
  return { sequence, issuedAtMs, attempt, fingerprint, outcome: fromOutcomeFields(record) };
}

/** Converts a message into a part of a hand-over. Returns undefined if any of it is malformed. */
export function fromHandOverRequest(
  request: peer.HandOverKeysRequest,
): keyTypes.IKeyTransferPart | undefined {
  const issuer = codec.decodeIssuer(request.issuer);
  if (issuer === undefined) return undefined;
  const records = request.records.flatMap((record) => fromKeyRecord(record, issuer) ?? []);
  if (records.length !== request.records.length) return undefined;
  const { secret, issuerClockMs, nextSequence, last, part, successorIncarnation } = request;
  return { issuer, secret, issuerClockMs, nextSequence, records, last, part, successorIncarnation };
}
