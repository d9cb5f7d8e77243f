import * as answerSize from '../../common/keys/AnswerSize';
import * as keyAuthority from '../../common/keys/KeyAuthority';
import type * as keyTypes from '../../common/keys/Types';
import type * as types from './Types';

type UngrantedResult = Exclude<types.ClaimResult, { kind: 'granted' }>;

function unknownOutcome(reason: types.Unknown['reason'], detail: string): types.Unknown {
  return { kind: 'unknown', reason, detail, dispatched: false };
}

/** Refuses an invalid key. No request is ever granted such a key, so `not-run` is certain. */
export function invalidKey(detail: string): types.NotRun {
  return { kind: 'not-run', reason: 'request-key-invalid', detail };
}

export function issuerUnavailable(detail: string): types.Unknown {
  return unknownOutcome('key-issuer-unavailable', detail);
}

function fromOutcome(outcome: keyTypes.KeyOutcome): UngrantedResult {
  switch (outcome.kind) {
    case 'not-run': {
      const detail = 'an earlier request with this key was refused; obtain a new key';
      return { kind: 'not-run', reason: 'already-refused', detail };
    }
    case 'answered':
      if (outcome.answer !== undefined) return { kind: 'answered', answer: outcome.answer };
      return unknownOutcome(
        'earlier-outcome-unknown',
        'answered earlier; the answer is not stored',
      );
    default:
      return unknownOutcome(
        'earlier-outcome-unknown',
        'the outcome of the earlier attempt is unknown',
      );
  }
}

/** Returns the stored answer or the refusal for a request whose claim was not granted. */
export function toClaimResult(
  verdict: Exclude<keyTypes.ClaimVerdict, { kind: 'granted' }>,
): UngrantedResult {
  switch (verdict.kind) {
    case 'in-progress':
      return unknownOutcome('attempt-in-progress', 'another request with this key is in progress');
    case 'completed':
      return fromOutcome(verdict.outcome);
    case 'different-content': {
      const detail = 'the key was used for a request with other content';
      return { kind: 'not-run', reason: 'request-key-reused', detail };
    }
    case 'invalid-key':
      return invalidKey('the authentication code does not match');
    case 'expired-key':
      return unknownOutcome('request-key-expired', 'the key is older than 15 minutes');
    case 'too-many-claims':
      return issuerUnavailable('the issuer holds as many claims as it may');
    default:
      return issuerUnavailable('the process that issued the key is not there any more');
  }
}

/** Removes an answer that is too large for the issuer to store, so that it is not sent. */
export function dropLargeAnswer(outcome: keyTypes.KeyOutcome): keyTypes.KeyOutcome {
  if (outcome.kind !== 'answered' || outcome.answer === undefined) return outcome;
  const limit = keyAuthority.DEFAULT_LIMITS.maxStoredAnswerBytes;
  const isLarge = answerSize.answerSize(outcome.answer) > limit;
  return isLarge ? { kind: 'answered', answer: undefined } : outcome;
}
