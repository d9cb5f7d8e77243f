import type * as types from '../Types';
import * as runningCall from './RunningCall';
import type * as serviceBalancer from './ServiceBalancer';
import type * as callTypes from './Types';

/** Runs calls: chooses servers, sends attempts and ends each call with exactly one outcome. */
export class CallCoordinator {
  public constructor(
    private readonly transport: callTypes.IBackendTransport,
    private readonly clock: types.IClock,
  ) {}

  /**
   * Runs `call` on one of the servers of `balancer`.
   * @param onOutcome Called exactly once, unless the call is cancelled first.
   */
  public start(
    call: callTypes.ICall,
    balancer: serviceBalancer.ServiceBalancer,
    onOutcome: (outcome: callTypes.CallOutcome) => void,
  ): callTypes.IAttempt {
    const running = new runningCall.RunningCall(
      call,
      balancer,
      this.transport,
      this.clock,
      onOutcome,
    );
    running.begin();
    return { cancel: () => running.cancel() };
  }
}
