import type * as callTypes from '../../common/call/Types';
import type * as serverReach from '../../common/reach/ServerReach';
import * as forwardedCall from './ForwardedCall';
import type * as forwardTypes from './Types';

/** Returns a call for the servers to which it may still be sent. */
function withAttemptsLeft(
  call: callTypes.ICall,
  { attempts = 1 }: forwardTypes.UnknownOutcome,
): callTypes.ICall {
  const { maxAttempts } = call;
  return maxAttempts === undefined ? call : { ...call, maxAttempts: maxAttempts - attempts };
}

/**
 * Runs the calls of callers: on the servers of this daemon, or, while it does not reach those of the
 * service, at a peer that does.
 */
export class CallForwarder {
  public constructor(
    private readonly local: forwardTypes.ILocalCalls,
    private readonly reach: serverReach.ServerReach,
    private readonly context: forwardedCall.IForwardContext,
  ) {}

  /** @param onOutcome Called exactly once, unless the call is cancelled first. */
  public start(
    call: callTypes.ICall,
    onOutcome: (outcome: callTypes.CallOutcome) => void,
  ): callTypes.IAttempt {
    if (!this.reach.isReachable(call.service.name)) return this.forward(call, onOutcome);
    let forwarded: callTypes.IAttempt | undefined;
    const local = this.local.start(call, (outcome) => {
      if (!this.mayForward(call, outcome)) onOutcome(outcome);
      else if (outcome.kind !== 'unknown') forwarded = this.forward(call, onOutcome);
      else forwarded = this.forward(withAttemptsLeft(call, outcome), onOutcome, outcome);
    });
    return { cancel: () => (forwarded ?? local).cancel() };
  }

  /** @param unknownOutcome Outcome on the servers of this daemon, if they may have run the call. */
  private forward(
    call: callTypes.ICall,
    onOutcome: (outcome: callTypes.CallOutcome) => void,
    unknownOutcome?: forwardTypes.UnknownOutcome,
  ): callTypes.IAttempt {
    const { context } = this;
    const forwarded = new forwardedCall.ForwardedCall(call, context, onOutcome, unknownOutcome);
    forwarded.begin();
    return forwarded;
  }

  /** Whether a peer may run a call that has failed on the servers of this daemon. */
  private mayForward(call: callTypes.ICall, outcome: callTypes.CallOutcome): boolean {
    const { name, idempotent } = call.service;
    if (outcome.kind === 'not-run') {
      // New connections may fail while those that are open still work.
      const hasServers = (call.table.servers.get(name) ?? []).length > 0;
      const isLate = outcome.retryAfterMs !== undefined;
      return outcome.reason === 'no-backend-server' && hasServers && !isLate;
    }
    if (outcome.kind !== 'unknown' || outcome.reason !== 'connection-lost') return false;
    const attemptsLeft = withAttemptsLeft(call, outcome).maxAttempts ?? 1;
    const isRepeatable = idempotent && attemptsLeft > 0;
    return isRepeatable && !this.reach.isReachable(name) && this.context.takeRetryPermit(name);
  }
}
