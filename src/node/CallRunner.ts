import type * as callCoordinator from '../common/call/CallCoordinator';
import type * as callTypes from '../common/call/Types';
import type * as keyTypes from '../common/keys/Types';
import type * as types from '../common/Types';
import type * as gatewayTypes from './keys/Types';
import type * as serviceSet from './ServiceSet';
import * as startCall from './startCall';

/**
 * Fingerprint of a request whose body was not read. It matches no real fingerprint, so a key that
 * was used before is never treated as unused.
 */
const UNREAD_BODY_FINGERPRINT = 'unread';

type Refusal = Exclude<callTypes.CallOutcome, { kind: 'answered' }>;
type OnOutcome = (outcome: callTypes.CallOutcome) => void;

/** Claims request keys, and records the outcome of their requests. */
export interface IKeyClaims {
  claim(request: gatewayTypes.IKeyedRequest): Promise<gatewayTypes.ClaimResult>;
  complete(claim: gatewayTypes.IGrantedClaim, outcome: keyTypes.KeyOutcome): Promise<boolean>;
  refuse(
    request: gatewayTypes.IKeyedRequest,
    refusal: gatewayTypes.NotRun,
  ): Promise<Exclude<gatewayTypes.ClaimResult, { kind: 'granted' }>>;
}

function toKeyOutcome(outcome: callTypes.CallOutcome): keyTypes.KeyOutcome {
  return outcome.kind === 'answered'
    ? { kind: 'answered', answer: outcome.answer }
    : { kind: outcome.kind };
}

function issuerUnavailable(detail: string): Refusal {
  return { kind: 'unknown', reason: 'key-issuer-unavailable', detail, dispatched: false };
}

/** Runs calls. Claims the request key first if the service requires one. */
export class CallRunner {
  private pendingClaims = 0;

  public constructor(
    private readonly coordinator: callCoordinator.CallCoordinator,
    private readonly services: serviceSet.ServiceSet,
    private readonly keys: IKeyClaims,
    private readonly clock: types.IClock,
  ) {}

  /** Number of calls without an outcome, including those that continue after a disconnect. */
  public get inFlight(): number {
    return this.coordinator.inFlight + this.pendingClaims;
  }

  /**
   * Runs a call.
   * @param key The request key, if the service requires one.
   * @param onOutcome Called exactly once, unless the call is cancelled first.
   */
  public start(
    call: callTypes.ICall,
    key: string | undefined,
    onOutcome: OnOutcome,
  ): callTypes.IAttempt {
    if (call.service.requestKey === 'none' || key === undefined) {
      return this.dispatch(call, onOutcome);
    }
    return this.startKeyed(call, key, onOutcome);
  }

  /**
   * Refuses a request whose key was not claimed. Another daemon may be running the same request, so
   * the outcome is `not-run` only if the key was unused and is now closed.
   */
  public async refuse(
    key: string,
    service: string,
    refusal: gatewayTypes.NotRun,
  ): Promise<Refusal> {
    const request = { key, service, fingerprint: UNREAD_BODY_FINGERPRINT, deadlineMs: Infinity };
    const result = await this.keys.refuse(request, refusal);
    if (result.kind !== 'answered' && result.reason !== 'request-key-reused') return result;
    const detail = `an earlier request used the key; this one was refused: ${refusal.detail}`;
    return { kind: 'unknown', reason: 'earlier-outcome-unknown', detail, dispatched: false };
  }

  private dispatch(call: callTypes.ICall, onOutcome: OnOutcome): callTypes.IAttempt {
    const running = startCall.startCall(call, this.services, this.coordinator, onOutcome);
    this.services.probe(call.service.name);
    return running;
  }

  /**
   * The call continues when its caller disconnects: the caller may retry with the same key, and
   * then receives the recorded answer.
   */
  private startKeyed(call: callTypes.ICall, key: string, onOutcome: OnOutcome): callTypes.IAttempt {
    let ended = false;
    const end: OnOutcome = (outcome) => {
      if (!ended) onOutcome(outcome);
      ended = true;
    };
    this.pendingClaims += 1;
    const remainingMs = call.deadlineMs - this.clock.monotonicMs();
    const timer = this.clock.setTimer(remainingMs, () =>
      end(issuerUnavailable('the deadline passed before the issuer of the key replied')),
    );
    const request = {
      key,
      service: call.service.name,
      fingerprint: call.fingerprint,
      deadlineMs: call.deadlineMs,
    };
    this.keys
      .claim(request)
      .finally(() => timer.dispose())
      .then((claimed) => {
        if (claimed.kind === 'granted') return this.dispatchClaimed(call, claimed.claim, end);
        if (claimed.kind === 'answered') end({ ...claimed, server: '' });
        else end(claimed);
        return undefined;
      })
      .catch((error: Error) => end(issuerUnavailable(error.message)))
      .finally(() => {
        this.pendingClaims -= 1;
      });
    return {
      cancel: () => {
        ended = true;
      },
    };
  }

  private dispatchClaimed(
    call: callTypes.ICall,
    claim: gatewayTypes.IGrantedClaim,
    end: OnOutcome,
  ): void {
    this.dispatch(call, (outcome) => {
      this.keys.complete(claim, toKeyOutcome(outcome)).catch(() => undefined);
      end(outcome);
    });
  }
}
