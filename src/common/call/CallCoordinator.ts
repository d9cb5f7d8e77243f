import type * as requestSuspicion from '../suspicion/RequestSuspicion';
import type * as types from '../Types';
import * as runningCall from './RunningCall';
import type * as serviceBalancer from './ServiceBalancer';
import type * as callTypes from './Types';

/** Maximum number of concurrent calls, running and queued, which bounds the daemon's memory. */
const MAX_CALLS = 4_000;

/** Number of calls at which `leisure` calls are refused, to leave room for `prompt` ones. */
const MAX_CALLS_FOR_LEISURE = 2_000;

/**
 * Runs calls, each of which ends with exactly one outcome unless it is cancelled. Refuses calls
 * beyond the daemon's capacity, and requests that are suspected of crashing servers.
 */
export class CallCoordinator {
  private running = 0;

  public constructor(
    private readonly transport: callTypes.IBackendTransport,
    private readonly suspicion: requestSuspicion.RequestSuspicion,
    private readonly clock: types.IClock,
    private readonly observer?: callTypes.ICallObserver,
  ) {}

  /** Number of calls without an outcome yet. */
  public get inFlight(): number {
    return this.running;
  }

  /**
   * Runs `call` on the servers of `balancer`, and returns its handle.
   * @param onOutcome Called exactly once, unless the call is cancelled first.
   */
  public start(
    call: callTypes.ICall,
    balancer: serviceBalancer.ServiceBalancer,
    onOutcome: (outcome: callTypes.CallOutcome) => void,
  ): callTypes.IRunningCall {
    const refusal = this.refusalOf(call);
    if (refusal !== undefined) {
      onOutcome(refusal);
      return { cancel: () => undefined, abandon: () => undefined };
    }
    this.running += 1;
    const context = {
      balancer,
      transport: this.transport,
      suspicion: this.suspicion,
      clock: this.clock,
      observer: this.observer,
    };
    const running = new runningCall.RunningCall(call, context, (outcome) => {
      this.running -= 1;
      if (outcome !== undefined) onOutcome(outcome);
    });
    running.begin();
    return running;
  }

  private refusalOf(call: callTypes.ICall): callTypes.CallOutcome | undefined {
    const isLeisure = call.service.workClass === 'leisure';
    if (this.running >= (isLeisure ? MAX_CALLS_FOR_LEISURE : MAX_CALLS)) {
      return {
        kind: 'not-run',
        reason: 'overloaded',
        detail: `the daemon holds ${this.running} calls`,
      };
    }
    if (!this.suspicion.isEmpty && this.suspicion.isSuspect(call.fingerprint)) {
      return {
        kind: 'unknown',
        reason: 'suspected-crash',
        detail: 'backend servers were lost while they ran this request',
        dispatched: false,
      };
    }
    return undefined;
  }
}
