import type * as serverState from '../policy/ServerState';
import type * as types from '../Types';
import type * as serviceBalancer from './ServiceBalancer';
import type * as callTypes from './Types';

/** One call under way. */
export class RunningCall {
  private readonly tried = new Set<string>();

  private attempt: callTypes.IAttempt | undefined;

  private deadlineTimer: types.IDisposable | undefined;

  private endCurrent: (() => void) | undefined;

  private dispatched = false;

  private ended = false;

  public constructor(
    private readonly call: callTypes.ICall,
    private readonly balancer: serviceBalancer.ServiceBalancer,
    private readonly transport: callTypes.IBackendTransport,
    private readonly clock: types.IClock,
    private readonly onOutcome: (outcome: callTypes.CallOutcome) => void,
  ) {}

  public begin(): void {
    const remainingMs = this.call.deadlineMs - this.clock.monotonicMs();
    this.deadlineTimer = this.clock.setTimer(remainingMs, () => this.expire());
    this.sendNext();
  }

  public cancel(): void {
    if (this.ended) return;
    this.ended = true;
    this.deadlineTimer?.dispose();
    this.endCurrent?.();
    this.attempt?.cancel();
  }

  private sendNext(): void {
    if (this.clock.monotonicMs() >= this.call.deadlineMs) {
      this.expire();
      return;
    }
    const server = this.balancer.choose(this.tried);
    if (server === undefined) {
      const detail = 'no backend server of the service may be used now';
      this.end({ kind: 'not-run', reason: 'no-backend-server', detail });
      return;
    }
    this.tried.add(server.address);
    this.send(server);
  }

  private send(server: serverState.ServerState): void {
    const number = server.recordStart(this.clock.monotonicMs());
    this.endCurrent = () => server.recordEnd(number, 'cancelled', this.clock.monotonicMs());
    this.attempt = this.transport.send(this.call, server.row, {
      onSent: () => {
        this.dispatched = true;
      },
      onLoadReport: (report) => server.recordReport(report, this.clock.monotonicMs()),
      onEnd: (outcome) => {
        const result = outcome.kind === 'answered' ? 'answered' : 'failed';
        server.recordEnd(number, result, this.clock.monotonicMs());
        this.endCurrent = undefined;
        this.finishAttempt(outcome, server.address);
      },
    });
  }

  private finishAttempt(outcome: callTypes.AttemptOutcome, server: string): void {
    switch (outcome.kind) {
      case 'answered':
        this.end({ kind: 'answered', answer: outcome.answer, server });
        break;
      case 'not-sent':
      case 'refused':
        this.dispatched = false;
        this.sendNext();
        break;
      default: {
        const { detail } = outcome;
        const reason = outcome.reason === 'silent' ? 'connection-lost' : outcome.reason;
        this.end({ kind: 'unknown', reason, detail, dispatched: true });
      }
    }
  }

  private expire(): void {
    if (this.ended) return;
    this.endCurrent?.();
    this.attempt?.cancel();
    const detail = 'the deadline passed';
    if (this.dispatched) {
      this.end({ kind: 'unknown', reason: 'deadline-exceeded', detail, dispatched: true });
    } else {
      this.end({ kind: 'not-run', reason: 'deadline-before-dispatch', detail });
    }
  }

  private end(outcome: callTypes.CallOutcome): void {
    if (this.ended) return;
    this.ended = true;
    this.deadlineTimer?.dispose();
    this.onOutcome(outcome);
  }
}
