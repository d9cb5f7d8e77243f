import type * as callCoordinator from '../../common/call/CallCoordinator';
import type * as callTypes from '../../common/call/Types';
import type * as serverReach from '../../common/reach/ServerReach';
import type * as types from '../../common/Types';
import type * as serviceSet from '../ServiceSet';
import * as startCall from '../startCall';
import type * as forwardTypes from './Types';

interface ILocalCall {
  readonly service: string;
  readonly running: callTypes.IRunningCall;
}

/**
 * Runs calls on the servers of this daemon. Calls that may be repeated end as soon as their service
 * gets out of reach, so that another daemon can run them in time; the others keep waiting for their
 * answer.
 */
export class LocalCalls implements forwardTypes.ILocalCalls, types.IDisposable {
  private readonly repeatable = new Set<ILocalCall>();

  private readonly subscription: types.IDisposable;

  public constructor(
    private readonly services: serviceSet.ServiceSet,
    private readonly coordinator: callCoordinator.CallCoordinator,
    private readonly reach: serverReach.ServerReach,
  ) {
    this.subscription = reach.onChanged(({ isReachable }) => {
      if (!isReachable) this.endUnreachable();
    });
  }

  public start(
    call: callTypes.ICall,
    onOutcome: (outcome: callTypes.CallOutcome) => void,
  ): callTypes.IAttempt {
    const { name, idempotent } = call.service;
    let local: ILocalCall | undefined;
    let hasEnded = false;
    const running = startCall.startCall(call, this.services, this.coordinator, (outcome) => {
      hasEnded = true;
      if (local !== undefined) this.repeatable.delete(local);
      onOutcome(outcome);
    });
    if (!idempotent || hasEnded) return running;
    const added = { service: name, running };
    local = added;
    this.repeatable.add(added);
    return {
      cancel: () => {
        this.repeatable.delete(added);
        running.cancel();
      },
    };
  }

  public dispose(): void {
    this.subscription.dispose();
  }

  private endUnreachable(): void {
    [...this.repeatable]
      .filter(({ service }) => !this.reach.isReachable(service))
      .forEach(({ running }) => running.abandon());
  }
}
