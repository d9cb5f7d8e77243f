import type * as callTypes from '../../common/call/Types';
import type * as helperChoice from '../../common/reach/HelperChoice';
import type * as types from '../../common/Types';
import * as forwardMessages from './ForwardMessages';
import type * as forwardTypes from './Types';

/** Peers that are asked for one call at most. */
const MAX_HELPERS_ASKED = 4;

/** Delay after which a caller may return if no peer can help, in milliseconds. */
const RETRY_DELAY_MS = 100;

/** Dependencies of a call that is forwarded. */
export interface IForwardContext {
  readonly helpers: helperChoice.HelperChoice;
  readonly peers: forwardTypes.IForwardPeers;
  readonly observer: forwardTypes.IForwardObserver;
  /** Takes a permit to run a call of a service once more, if there is one. */
  readonly takeRetryPermit: (service: string) => boolean;
  readonly clock: types.IClock;
}

/**
 * One call that peers are asked to run, one after the other, until one gives its outcome. A call
 * that must not be repeated goes to a second peer only if the first one has certainly not run it.
 */
export class ForwardedCall implements callTypes.IAttempt {
  private readonly asked = new Set<string>();

  private message: callTypes.IAttempt | undefined;

  private readonly deadlineTimer: types.IDisposable;

  private helper: string | undefined;

  private ended = false;

  /**
   * @param onOutcome Called exactly once, unless the call is cancelled first.
   * @param unknownOutcome Outcome of an earlier attempt, after which the call may have run.
   */
  public constructor(
    private readonly call: callTypes.ICall,
    private readonly context: IForwardContext,
    private readonly onOutcome: (outcome: callTypes.CallOutcome) => void,
    private unknownOutcome?: forwardTypes.UnknownOutcome,
  ) {
    const remainingMs = call.deadlineMs - context.clock.monotonicMs();
    this.deadlineTimer = context.clock.setTimer(remainingMs, () => this.expire());
  }

  public begin(): void {
    this.askNext();
  }

  public cancel(): void {
    this.close();
    this.message?.cancel();
  }

  private askNext(): void {
    const { helpers, peers, clock } = this.context;
    const helper = this.asked.size < MAX_HELPERS_ASKED ? helpers.choose(this.asked) : undefined;
    this.helper = helper;
    if (helper === undefined) {
      this.end(this.failedOutcome());
      return;
    }
    this.asked.add(helper);
    const request = forwardMessages.toRequest(this.call, clock.monotonicMs());
    this.message = peers.forward(helper, request, (transmission) => {
      if (this.ended) return;
      if (transmission.kind === 'reply') {
        this.handleResult(helper, forwardMessages.fromReply(transmission.reply));
      } else if (transmission.kind === 'not-sent') {
        this.handleResult(helper, { kind: 'cannot-help', detail: transmission.detail });
      } else this.handleResult(helper, transmission);
    });
  }

  private handleResult(helper: string, result: forwardTypes.ForwardResult): void {
    this.context.observer.onForwarded(this.call, helper, result.kind);
    if (result.kind === 'outcome') {
      const isRefused = result.outcome.kind === 'not-run';
      this.end(isRefused ? (this.unknownOutcome ?? result.outcome) : result.outcome);
      return;
    }
    this.context.helpers.avoid(helper);
    if (result.kind === 'lost') {
      const detail = `${helper}: ${result.detail}`;
      const kind = 'unknown';
      this.unknownOutcome = { kind, reason: 'connection-lost', detail, dispatched: true };
    }
    if (result.kind === 'cannot-help' || this.mayRepeat()) this.askNext();
    else this.end(this.failedOutcome());
  }

  /** Whether another peer may run a call that a peer without a reply may have run. */
  private mayRepeat(): boolean {
    const { service, maxAttempts } = this.call;
    // A peer may use all attempts of the call, and how many it used is not known.
    if (!service.idempotent || maxAttempts !== undefined) return false;
    return this.context.takeRetryPermit(service.name);
  }

  private failedOutcome(): callTypes.CallOutcome {
    if (this.unknownOutcome !== undefined) return this.unknownOutcome;
    return {
      kind: 'not-run',
      reason: 'no-backend-server',
      detail: 'no backend server answers this daemon, and no other daemon could help',
      retryAfterMs: RETRY_DELAY_MS,
    };
  }

  private expire(): void {
    if (this.ended) return;
    this.message?.cancel();
    if (this.helper !== undefined) this.context.helpers.avoid(this.helper);
    const detail = 'no answer came from another daemon before the deadline';
    this.end({ kind: 'unknown', reason: 'deadline-exceeded', detail, dispatched: true });
  }

  private end(outcome: callTypes.CallOutcome): void {
    if (this.ended) return;
    this.close();
    this.onOutcome(outcome);
  }

  private close(): void {
    this.ended = true;
    this.deadlineTimer.dispose();
  }
}
