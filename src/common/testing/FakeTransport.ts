import type * as callTypes from '../call/Types';
import type * as policyTypes from '../policy/Types';
import type * as tableTypes from '../table/Types';

/** Attempt whose outcome is set by the test. */
export interface IFakeAttempt {
  readonly call: callTypes.ICall;
  readonly server: string;
  readonly listener: callTypes.IAttemptListener;
  cancelled: boolean;
}

/** Test transport that records attempts. Tests end them through their listeners. */
export class FakeTransport implements callTypes.IBackendTransport {
  public readonly attempts: IFakeAttempt[] = [];

  public constructor(private readonly sendsAtOnce = true) {}

  public send(
    call: callTypes.ICall,
    server: tableTypes.IServerRow,
    listener: callTypes.IAttemptListener,
  ): callTypes.IAttempt {
    const attempt: IFakeAttempt = { call, server: server.address, listener, cancelled: false };
    this.attempts.push(attempt);
    if (this.sendsAtOnce) listener.onSent();
    return {
      cancel: () => {
        attempt.cancelled = true;
      },
    };
  }

  public probe(
    _server: tableTypes.IServerRow,
    _timeoutMs: number,
    onReply: (report: policyTypes.ILoadReport | undefined) => void,
  ): void {
    onReply(undefined);
  }
}
