import type * as callTypes from '../call/Types';
import type * as policyTypes from '../policy/Types';
import type * as tableTypes from '../table/Types';
import type * as serverReach from './ServerReach';

/** Sends requests to servers, and checks them. */
export type Transport = callTypes.IBackendTransport & callTypes.IServerChecker;

/** Reports to `ServerReach` which servers reply, and which do not. */
export class ObservedTransport implements Transport {
  public constructor(
    private readonly transport: Transport,
    private readonly reach: serverReach.ServerReach,
  ) {}

  public hasIdleConnection(address: string): boolean {
    return this.transport.hasIdleConnection(address);
  }

  public check(
    server: tableTypes.IServerRow,
    healthPath: string,
    timeoutMs: number,
    onReply: (reply: policyTypes.CheckReply) => void,
  ): void {
    this.reach.recordAsked(server);
    this.transport.check(server, healthPath, timeoutMs, (reply) => {
      if (reply.kind === 'unreachable') this.reach.recordFailure(server);
      else if (reply.kind !== 'silent') this.reach.recordReply(server);
      onReply(reply);
    });
  }

  public send(
    call: callTypes.ICall,
    server: tableTypes.IServerRow,
    listener: callTypes.IAttemptListener,
  ): callTypes.IAttempt {
    return this.transport.send(call, server, {
      mayStart: () => listener.mayStart(),
      mayAbandon: () => listener.mayAbandon(),
      onSent: () => listener.onSent(),
      onLoadReport: (report) => {
        this.reach.recordReply(server);
        listener.onLoadReport(report);
      },
      onEnd: (outcome) => {
        this.recordEnd(server, outcome);
        listener.onEnd(outcome);
      },
    });
  }

  public probe(
    server: tableTypes.IServerRow,
    timeoutMs: number,
    onReply: (report: policyTypes.ILoadReport | undefined) => void,
  ): void {
    this.transport.probe(server, timeoutMs, onReply);
  }

  private recordEnd(server: tableTypes.IServerRow, outcome: callTypes.AttemptOutcome): void {
    if (outcome.kind === 'answered' || outcome.kind === 'refused') this.reach.recordReply(server);
    else if (outcome.kind === 'not-sent' && outcome.reason === undefined) {
      this.reach.recordFailure(server);
    }
  }
}
