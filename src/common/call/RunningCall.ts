import type * as policyTypes from '../policy/Types';
import type * as serverState from '../policy/ServerState';
import type * as schedulingTypes from '../scheduling/Types';
import * as requestSuspicion from '../suspicion/RequestSuspicion';
import type * as types from '../Types';
import type * as admissionQueue from './AdmissionQueue';
import * as failures from './Failures';
import * as secondSend from './SecondSend';
import type * as serviceBalancer from './ServiceBalancer';
import type * as callTypes from './Types';

/** Maximum number of retries of a call, including those spent further up the call tree. */
const MAX_RETRIES_SPENT = 2;

/**
 * Maximum number of further attempts per call that need no permit from the retry budget, because no
 * byte reached the previous server. With little traffic the budget holds one permit, so that two
 * unreachable servers would otherwise fail a call.
 */
const MAX_REROUTES = 3;

/** Maximum number of hedges per call. */
const MAX_HEDGES = 2;

/** Dependencies of a running call. */
export interface ICallContext {
  readonly balancer: serviceBalancer.ServiceBalancer;
  readonly transport: callTypes.IBackendTransport;
  readonly suspicion: requestSuspicion.RequestSuspicion;
  readonly clock: types.IClock;
  readonly observer?: callTypes.ICallObserver | undefined;
}

interface IActiveAttempt {
  readonly started: serviceBalancer.IStartedAttempt;
  handle: callTypes.IAttempt | undefined;
  sent: boolean;
}

/** One call in progress: its attempts, retries, hedges and deadline. */
export class RunningCall implements callTypes.IRunningCall {
  private readonly active = new Set<IActiveAttempt>();

  private readonly tried = new Set<string>();

  private readonly failures = new failures.Failures();

  private readonly ticket: admissionQueue.ITicket;

  private deadlineTimer: types.IDisposable | undefined;

  private hedgeTimer: types.IDisposable | undefined;

  private selection: types.IDisposable | undefined;

  private secondSend: types.IDisposable | undefined;

  private admittedAtMs: number | undefined;

  private retries = 0;

  private hedges = 0;

  private reroutes = 0;

  /** Number of attempts of which bytes may have reached a server. */
  private sent = 0;

  private ended = false;

  /** @param onEnd Called exactly once, with undefined if the call was cancelled. */
  public constructor(
    private readonly call: callTypes.ICall,
    private readonly context: ICallContext,
    private readonly onEnd: (outcome: callTypes.CallOutcome | undefined) => void,
  ) {
    this.ticket = {
      depth: call.depth,
      deadlineMs: call.deadlineMs,
      onAdmitted: () => this.onAdmitted(),
      onShed: () => this.shed('the call waited too long for a backend server'),
    };
  }

  /** Requests admission and starts the first attempt once it is granted. */
  public begin(): void {
    const remainingMs = this.call.deadlineMs - this.context.clock.monotonicMs();
    this.deadlineTimer = this.context.clock.setTimer(remainingMs, () => this.expire());
    const admission = this.context.balancer.admission.enter(this.ticket);
    if (admission === 'admitted') this.onAdmitted();
    if (admission === 'refused') this.shed('the expected wait exceeds the time that is left');
  }

  /** Cancels the call because its caller has gone. No outcome follows. */
  public cancel(): void {
    if (this.ended) return;
    this.checkSilentServers();
    this.cancelActive('cancelled');
    this.finish(undefined);
  }

  /**
   * Ends the call because its servers are out of reach. A call that was sent goes on waiting for its
   * answer if it may not be sent again.
   */
  public abandon(): void {
    if (this.ended) return;
    const isSent = [...this.active].some(({ sent }) => sent);
    if (isSent && !this.mayRetry) return;
    if (isSent) {
      const detail = 'no backend server of the service answers this daemon';
      this.failures.recordLost({ kind: 'lost', reason: 'connection-lost', detail });
    }
    this.checkSilentServers();
    this.cancelActive('cancelled');
    this.finish(this.failedOutcome());
  }

  private onAdmitted(): void {
    this.admittedAtMs = this.context.clock.monotonicMs();
    this.context.balancer.recordFirstAttempt(this.call.depth);
    this.sendNext();
    if (!this.ended) this.scheduleHedge();
  }

  private shed(detail: string, retryAfterMs?: number): void {
    this.finish({ kind: 'not-run', reason: 'overloaded', detail, retryAfterMs });
  }

  private sendNext(): void {
    if (this.context.clock.monotonicMs() >= this.call.deadlineMs) {
      this.expire();
      return;
    }
    this.selection = this.context.balancer.select(this.tried, this.call, (selected) => {
      if (this.ended) return;
      if (selected.kind === 'server') this.send(selected.server, selected.cost);
      else if (this.active.size === 0) this.endWithoutServer(selected);
    });
  }

  /** Ends a call for which no server was found. */
  private endWithoutServer(
    selected: Exclude<schedulingTypes.SelectionResult, { kind: 'server' }>,
  ): void {
    if (selected.kind === 'none') {
      this.finish(this.failedOutcome());
      return;
    }
    const { retryAfterMs } = selected;
    this.context.observer?.onWaitEnded(this.call, selected);
    if (this.sent === 0) {
      this.shed('every server that was asked is too busy to answer in time', retryAfterMs);
      return;
    }
    const outcome = this.failedOutcome();
    this.finish(outcome.kind === 'not-run' ? { retryAfterMs, ...outcome } : outcome);
  }

  /** Returns the outcome of a call that gets no further attempt. */
  private failedOutcome(): callTypes.CallOutcome {
    const outcome = this.failures.toOutcome();
    if (outcome.kind === 'unknown') return { ...outcome, attempts: this.sent };
    if (outcome.kind !== 'not-run') return outcome;
    const retryAfterMs = this.context.balancer.retryDelayMs();
    if (retryAfterMs === undefined) return outcome;
    const detail = 'every backend server is cold or has asked for fewer requests';
    return { kind: 'not-run', reason: 'overloaded', detail, retryAfterMs };
  }

  private send(server: serverState.ServerState, cost = 1): void {
    this.tried.add(server.address);
    const { balancer, transport } = this.context;
    const attempt: IActiveAttempt = {
      started: balancer.recordStart(server, this.call),
      handle: undefined,
      sent: false,
    };
    this.active.add(attempt);
    this.reportStart(server, cost);
    const call = this.retries > 0 ? this.withRetriesSpent() : this.call;
    attempt.handle = transport.send(call, server.row, {
      mayStart: () => balancer.eligibility.mayStart(server, attempt.started.startMs),
      mayAbandon: () => this.active.size > 1 || this.mayRetry,
      onSent: () => {
        attempt.sent = true;
        this.sent += 1;
      },
      onLoadReport: (report) => balancer.recordReport(server.address, report),
      onEnd: (outcome) => this.endAttempt(attempt, outcome),
    });
    if (this.active.has(attempt)) this.scheduleSecondSend(attempt);
  }

  private reportStart(server: serverState.ServerState, cost: number): void {
    const { observer, clock } = this.context;
    if (observer === undefined) return;
    const nowMs = clock.monotonicMs();
    observer.onAttemptStarted(this.call, {
      server: server.address,
      instance: server.row.instance,
      attempt: this.tried.size,
      cost: Math.round(cost * 100) / 100,
      report: server.report,
      reportAgeMs:
        server.report === undefined ? undefined : Math.round(nowMs - server.reportedAtMs),
      remainingMs: Math.round(this.call.deadlineMs - nowMs),
    });
  }

  private reportEnd(attempt: IActiveAttempt, outcome: callTypes.AttemptOutcome | undefined): void {
    const { observer, clock } = this.context;
    const { server, startMs } = attempt.started;
    observer?.onAttemptEnded(this.call, server.address, outcome, clock.monotonicMs() - startMs);
  }

  private withRetriesSpent(): callTypes.ICall {
    return { ...this.call, retriesSpent: this.call.retriesSpent + this.retries };
  }

  private scheduleHedge(): void {
    const { service } = this.call;
    if (!service.idempotent || service.workClass !== 'prompt') return;
    if (this.context.balancer.checksServers) return;
    if (service.hedgeFraction === 0 || this.hedges >= MAX_HEDGES) return;
    const { clock, balancer } = this.context;
    this.hedgeTimer = clock.setTimer(balancer.hedgeDelay.delayMs, () => this.hedge());
  }

  /** Looks for a second server if the first one is expected to answer after the objective. */
  private scheduleSecondSend({ started }: IActiveAttempt): void {
    const { service, objectiveAtMs, hasLargeAnswer } = this.call;
    if (!service.idempotent || service.hedgeFraction === 0 || hasLargeAnswer === true) return;
    const { balancer, clock } = this.context;
    const idleServiceTimeMs = balancer.expectedWorkMs(this.call);
    if (objectiveAtMs === undefined || idleServiceTimeMs === undefined || this.hedges > 0) return;
    const { relativeDuration } = started;
    const remainingMs = objectiveAtMs - clock.monotonicMs();
    const first = { idleServiceTimeMs, relativeDuration, remainingMs };
    this.secondSend?.dispose();
    const second = new secondSend.SecondSend(this.call, this.tried, first, balancer, clock, {
      maySend: () => this.active.size === 1 && this.hasAttemptsLeft && !this.isSuspect,
      send: (server, cost) => {
        this.hedges += 1;
        this.context.observer?.onSecondSend?.(this.call, 'sent');
        this.send(server, cost);
      },
    });
    this.secondSend = second;
    second.begin();
  }

  private hedge(): void {
    if (this.ended || !this.hasAttemptsLeft || this.wasInFlightOnLostServer()) return;
    // A table has made the servers checked ones, which get second sends instead.
    if (this.context.balancer.checksServers) return;
    const server = this.context.balancer.choose(this.tried, this.call.table);
    if (server !== undefined && this.context.balancer.takeHedgePermit()) {
      this.hedges += 1;
      this.send(server);
    }
    if (!this.ended) this.scheduleHedge();
  }

  /** Whether the operators' limit on the servers of this call allows a further attempt. */
  private get hasAttemptsLeft(): boolean {
    const unsent = [...this.active].filter(({ sent }) => !sent).length;
    return this.sent + unsent < (this.call.maxAttempts ?? Number.POSITIVE_INFINITY);
  }

  private wasInFlightOnLostServer(): boolean {
    const { suspicion } = this.context;
    return !suspicion.isEmpty && suspicion.serversLost(this.call.fingerprint).length > 0;
  }

  private endAttempt(attempt: IActiveAttempt, outcome: callTypes.AttemptOutcome): void {
    if (!this.active.delete(attempt)) return;
    const { server } = attempt.started;
    this.reportEnd(attempt, outcome);
    this.context.balancer.recordEnd(attempt.started, failures.toAttemptResult(outcome));
    switch (outcome.kind) {
      case 'answered':
        this.recordHedgeOutcome(attempt);
        this.handleAnswer(outcome.answer, server.address);
        break;
      case 'refused':
        if (outcome.draining) this.context.balancer.eligibility.recordDraining(server.address);
        this.failures.recordRefused();
        this.retry();
        break;
      case 'not-sent':
        this.failures.recordNotSent(outcome.detail);
        this.reroute();
        break;
      default:
        this.handleLostAttempt(outcome, server);
    }
  }

  private recordHedgeOutcome(winner: IActiveAttempt): void {
    if (this.hedges === 0 || this.active.size === 0) return;
    const otherStartsMs = [...this.active].map(({ started }) => started.startMs);
    const won = otherStartsMs.some((startMs) => startMs < winner.started.startMs);
    if (won) this.context.observer?.onSecondSend?.(this.call, 'won');
    const nowMs = this.context.clock.monotonicMs();
    this.context.balancer.recordHedgeOutcome(
      won,
      won ? [] : otherStartsMs.map((startMs) => nowMs - startMs),
    );
  }

  private handleAnswer(answer: callTypes.IAnswer, server: string): void {
    if (this.ended) return;
    const { suspicion } = this.context;
    const isFailure = failures.isLocalFailure(answer);
    // A server that fails may not have begun to run the request.
    if (!suspicion.isEmpty && !isFailure) suspicion.recordAnswered(this.call.fingerprint);
    if (this.call.service.idempotent && isFailure) {
      this.failures.recordFailedAnswer(answer, server);
      this.retry();
      return;
    }
    this.cancelActive('cancelled');
    this.finish({ kind: 'answered', answer, server });
  }

  private handleLostAttempt(
    outcome: Extract<callTypes.AttemptOutcome, { kind: 'lost' }>,
    server: serverState.ServerState,
  ): void {
    this.failures.recordLost(outcome);
    const { balancer } = this.context;
    if (outcome.reason === 'connection-lost' || outcome.reason === 'answer-truncated') {
      balancer.checkLoss(server, (verdict) => this.recordLossVerdict(server, verdict));
    } else if (outcome.reason === 'silent') this.checkSilence(server);
    const isTooLarge = outcome.reason === 'answer-too-large';
    if (this.call.service.idempotent && !isTooLarge) this.retry();
    else if (this.active.size === 0) this.finish(this.failures.toOutcome());
  }

  /** Has the servers checked that were sent the request, and are given up without an answer. */
  private checkSilentServers(): void {
    [...this.active]
      .filter(({ sent }) => sent)
      .forEach(({ started }) => this.checkSilence(started.server));
  }

  private checkSilence(server: serverState.ServerState): void {
    const { balancer } = this.context;
    balancer.checkSilence(server, (verdict) => this.recordLossVerdict(server, verdict));
  }

  private recordLossVerdict(server: serverState.ServerState, verdict: callTypes.LossVerdict): void {
    const { suspicion, observer } = this.context;
    observer?.onLossDecided(this.call, server.address, verdict);
    if (verdict !== 'ended') return;
    suspicion.recordLoss(this.call.fingerprint, requestSuspicion.processKeyOf(server.row));
  }

  /** Tries another server after an attempt that sent no byte and thus put no load on its server. */
  private reroute(): void {
    if (this.ended || this.active.size > 0) return;
    if (this.reroutes >= MAX_REROUTES) {
      this.retry();
      return;
    }
    this.reroutes += 1;
    this.sendNext();
  }

  private get isSuspect(): boolean {
    return this.context.suspicion.isSuspect(this.call.fingerprint);
  }

  private get isWithinLimits(): boolean {
    const spent = this.call.retriesSpent + this.retries;
    return spent < MAX_RETRIES_SPENT && this.hasAttemptsLeft;
  }

  private get mayRetry(): boolean {
    return this.isWithinLimits && !this.isSuspect && this.context.balancer.hasRetryPermit;
  }

  private retry(): void {
    if (this.ended || this.active.size > 0) return;
    const { maxAttempts } = this.call;
    const { isSuspect, isWithinLimits } = this;
    const hasPermit =
      isWithinLimits && !isSuspect ? this.context.balancer.takeRetryPermit() : undefined;
    const isAllowed = hasPermit === true;
    const { sent } = this;
    const decision = { isAllowed, sent, maxAttempts, isSuspect, hasPermit };
    this.context.observer?.onRetryDecided(this.call, decision);
    if (!isAllowed) {
      this.finish(this.failedOutcome());
      return;
    }
    this.retries += 1;
    this.sendNext();
  }

  private expire(): void {
    if (this.ended) return;
    const mayHaveRun = [...this.active].some((attempt) => attempt.sent);
    this.checkSilentServers();
    this.cancelActive('timed-out');
    if (mayHaveRun) this.failures.recordTimeout();
    this.finish(this.failures.toOutcomeAtDeadline());
  }

  private cancelActive(result: policyTypes.AttemptResult): void {
    [...this.active].forEach((attempt) => {
      this.active.delete(attempt);
      attempt.handle?.cancel();
      this.reportEnd(attempt, undefined);
      this.context.balancer.recordEnd(attempt.started, result);
    });
  }

  private finish(outcome: callTypes.CallOutcome | undefined): void {
    if (this.ended) return;
    this.ended = true;
    this.deadlineTimer?.dispose();
    this.hedgeTimer?.dispose();
    this.secondSend?.dispose();
    this.selection?.dispose();
    const { admission } = this.context.balancer;
    if (outcome?.kind === 'not-run' && this.retries > 0) {
      this.context.balancer.recordFailedRetries(this.retries);
    }
    if (this.admittedAtMs === undefined) admission.withdraw(this.ticket);
    this.onEnd(outcome);
    if (this.admittedAtMs !== undefined) {
      admission.leave(this.ticket, this.context.clock.monotonicMs() - this.admittedAtMs);
    }
  }
}
