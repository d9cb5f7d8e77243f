import type * as http from 'node:http';

import * as statuses from '../../common/call/Statuses';
import type * as callTypes from '../../common/call/Types';
import type * as byteBudget from '../../common/memory/ByteBudget';
import type * as tableTypes from '../../common/table/Types';
import type * as types from '../../common/Types';
import * as bodyReader from './BodyReader';
import type * as callerProtocol from './CallerProtocol';
import * as fingerprints from './Fingerprints';
import * as requestHead from './RequestHead';
import * as requestSyntax from './RequestSyntax';
import type * as pacedWriter from './PacedWriter';
import * as responseWriter from './ResponseWriter';
import * as startWait from './StartWait';
import type * as serverTypes from './Types';

/** Time after which a caller may come back if its body had no room, in milliseconds. */
const NO_ROOM_RETRY_AFTER_MS = 1_000;

/** Runs calls, and decides the outcome of refused requests that carry a request key. */
export interface ICallRunner {
  start(
    call: callTypes.ICall,
    key: string | undefined,
    onOutcome: (outcome: callTypes.CallOutcome) => void,
  ): callTypes.IAttempt;
  refuse(key: string, service: string, refusal: serverTypes.NotRun): Promise<serverTypes.Refusal>;
}

/** Dependencies of an exchange with a caller. */
export interface IExchangeContext {
  readonly daemonState: serverTypes.IDaemonState;
  readonly protocol: callerProtocol.CallerProtocol;
  readonly runner: ICallRunner;
  readonly observer: serverTypes.IRequestObserver;
  readonly clock: types.IClock;
  /** Bytes of bodies that the daemon holds. */
  readonly budget: byteBudget.ByteBudget;
  /** Writes large answers; undefined to write them at once. */
  readonly writer?: pacedWriter.PacedWriter | undefined;
  /** Called before a request is processed, to detect a pause of the process. */
  beforeRequest(): void;
}

/** The connection of an exchange, with the other requests on it. */
export interface IExchangeOwner {
  /** Whether a later request on the connection has started, or already has its response. */
  hasBegunAfter(exchange: CallerExchange): boolean;
  /** Counts an answer in the budget until it was written, or the connection was closed. */
  holdReply(response: http.ServerResponse, bytes: number): void;
  /** Called once, after the response was written or the caller disconnected. */
  remove(exchange: CallerExchange): void;
}

interface IAccepted {
  readonly head: requestHead.IRequestHead;
  readonly table: tableTypes.ITable;
}

/** Handles one request of a caller, from its headers to the end of its response. */
export class CallerExchange {
  private readonly requestId: string;

  private readonly startMs: number;

  private reader: bodyReader.BodyReader | undefined;

  private attempt: callTypes.IAttempt | undefined;

  private bodyTimer: types.IDisposable | undefined;

  private readonly startWait: startWait.StartWait;

  private table: tableTypes.ITable | undefined;

  private accepted: IAccepted | undefined;

  private service = '';

  private refusing = false;

  private closing = false;

  private ended = false;

  public constructor(
    private readonly request: http.IncomingMessage,
    private readonly response: http.ServerResponse,
    private readonly context: IExchangeContext,
    private readonly owner: IExchangeOwner,
  ) {
    this.startMs = context.clock.monotonicMs();
    this.requestId = context.protocol.requestIdOf(request);
    this.startWait = new startWait.StartWait(context.daemonState, context.clock);
  }

  /**
   * Whether the request may start before earlier ones on its connection are answered: it may run
   * more than once, or is refused, and the responses before it are not known to close the connection.
   */
  public get mayRunAhead(): boolean {
    if (this.context.daemonState.phase !== 'ready') return false;
    const accepted = this.accept();
    return 'kind' in accepted || accepted.head.service.idempotent;
  }

  /** Whether the connection closes after the response to this request. */
  public get closesConnection(): boolean {
    if (this.closing || !this.response.shouldKeepAlive) return true;
    const { phase } = this.context.daemonState;
    const isStopping = phase === 'draining' || phase === 'stopping';
    // A request that has started, or whose response waits for this one, would lose its response.
    return isStopping && !this.owner.hasBegunAfter(this);
  }

  /** Whether the body of the request is still being read. */
  public get isReading(): boolean {
    const isDecided = this.attempt !== undefined || this.refusing || this.ended;
    return this.reader !== undefined && !isDecided;
  }

  public begin(): void {
    this.context.beforeRequest();
    this.startWait.begin(() => this.read());
  }

  private read(): void {
    const accepted = this.accept();
    if ('kind' in accepted) {
      this.refuseUnclaimed(accepted);
      return;
    }
    const { head } = accepted;
    this.reader = new bodyReader.BodyReader(
      this.request,
      head.service.maxRequestBytes,
      () => this.context.budget.reserveRequest(),
      (result) => this.onBody(accepted, result),
    );
    if (bodyReader.BodyReader.hasBody(this.request)) this.awaitBody(head);
    this.reader.begin();
  }

  /** Ends the exchange because the caller closed its connection. */
  public abandon(): void {
    this.cancel('the caller closed its connection');
  }

  /**
   * Ends the exchange without a response, because a response before it closes the connection. The
   * caller takes the request as not read.
   */
  public discard(): void {
    this.cancel('an earlier response closes the connection');
  }

  /** Ends the exchange with a response, because the daemon stops. */
  public endForStop(): void {
    if (this.ended) return;
    if (this.attempt === undefined) {
      this.refuseUnclaimed(requestHead.notRun('shutting-down', 'the daemon stops'));
      return;
    }
    this.attempt.cancel();
    const detail = 'the daemon stops before the answer has arrived';
    this.refuse({ kind: 'unknown', reason: 'deadline-exceeded', detail, dispatched: true });
  }

  /** Refuses a request whose body is malformed. */
  public refuseBody(detail: string): void {
    this.closing = true;
    this.refuseUnclaimed(requestHead.notRun('malformed-request', detail));
  }

  /** Closes the connection after this exchange. */
  public closeAfterwards(): void {
    this.closing = true;
    this.response.shouldKeepAlive = false;
    // The headers of the response may already state that the connection stays open.
    if (this.ended) this.onceWritten(() => this.request.socket.destroySoon());
  }

  /** Calls back once all bytes of the response were handed to the operating system. */
  public onceWritten(callback: () => void): void {
    if (this.response.writableFinished) callback();
    else this.response.once('finish', callback);
  }

  private cancel(detail: string): void {
    if (this.ended) return;
    const dispatched = this.attempt !== undefined;
    this.attempt?.cancel();
    this.finish();
    this.report({ kind: 'unknown', reason: 'cancelled-by-caller', detail, dispatched });
  }

  private accept(): IAccepted | serverTypes.NotRun {
    const { daemonState } = this.context;
    const { table } = daemonState;
    // A daemon that is starting may already have a table, but requests do not use it yet.
    if (daemonState.phase !== 'starting') this.table = table;
    if (daemonState.phase === 'stopping') {
      return requestHead.notRun('shutting-down', 'the daemon is about to stop');
    }
    if (table === undefined || daemonState.phase === 'starting') {
      return requestHead.notRun('not-ready', 'the daemon is not ready yet');
    }
    const problem = requestSyntax.findProblem(this.request);
    if (problem !== undefined) {
      // A later request on the connection may be part of what the sender meant as this one.
      this.closeAfterwards();
      return requestHead.notRun('malformed-request', problem);
    }
    const head = this.readHead(table);
    if ('kind' in head) return head;
    this.service = head.service.name;
    this.accepted = { head, table };
    if (this.outlastsDaemon(head.timeoutMs)) {
      return requestHead.notRun('shutting-down', 'the daemon stops before the deadline');
    }
    return this.accepted;
  }

  /** Reads the head by the routes of the table, once, since each reading selects a target. */
  private readHead(table: tableTypes.ITable): requestHead.IRequestHead | serverTypes.NotRun {
    const { accepted, request } = this;
    const isCurrent = table.routes !== undefined && accepted?.table.routes === table.routes;
    if (isCurrent) return accepted.head;
    const { protocol } = this.context;
    this.service = protocol.serviceOf(request, table);
    return protocol.readHead(request, table);
  }

  private outlastsDaemon(timeoutMs: number): boolean {
    const { stopTimes } = this.context.daemonState;
    if (stopTimes === undefined || this.startMs <= stopTimes.lastOpenEndedMs) return false;
    return this.startMs + timeoutMs > stopTimes.endMs;
  }

  private awaitBody(head: requestHead.IRequestHead): void {
    if (this.request.headers.expect !== undefined && this.request.httpVersion === '1.1') {
      const declaredBytes = Number(this.request.headers['content-length'] ?? 0);
      if (declaredBytes <= head.service.maxRequestBytes) this.response.writeContinue();
    }
    this.bodyTimer = this.context.clock.setTimer(head.timeoutMs, () => {
      const detail = 'the deadline passed before the body of the request arrived';
      this.refuseUnclaimed(requestHead.notRun('deadline-before-dispatch', detail));
    });
  }

  private onBody(accepted: IAccepted, result: bodyReader.BodyResult): void {
    this.bodyTimer?.dispose();
    if (result.kind === 'too-large') {
      const { maxRequestBytes } = accepted.head.service;
      const detail = `the body exceeds ${maxRequestBytes} bytes`;
      this.refuseUnclaimed(requestHead.notRun('body-too-large', detail));
      return;
    }
    if (result.kind === 'no-room') {
      const detail = 'the daemon holds too many bytes of other requests';
      this.refuseUnclaimed({
        ...requestHead.notRun('overloaded', detail),
        retryAfterMs: NO_ROOM_RETRY_AFTER_MS,
      });
      return;
    }
    this.startCall(this.toCall(accepted, result.body), accepted.head.requestKey);
  }

  private toCall({ head, table }: IAccepted, body: Uint8Array): callTypes.ICall {
    const method = this.request.method ?? 'GET';
    let fingerprint: string | undefined;
    return {
      requestId: this.requestId,
      service: head.service,
      table,
      method,
      path: head.path,
      headers: head.headers,
      body,
      deadlineMs: this.startMs + head.timeoutMs,
      depth: head.depth,
      retriesSpent: head.retriesSpent,
      objectiveAtMs: head.objectiveMs === undefined ? undefined : this.startMs + head.objectiveMs,
      priority: head.priority,
      hasLargeAnswer: head.hasLargeAnswer,
      maxAttempts: head.maxAttempts,
      configurationVersion: table.routes?.configurationVersion,
      route: head.route,
      // Computed on demand: few calls need it, and the hash costs several microseconds.
      get fingerprint() {
        fingerprint ??= fingerprints.fingerprintOf(method, head.path, body);
        return fingerprint;
      },
    };
  }

  private startCall(call: callTypes.ICall, key: string | undefined): void {
    this.context.observer.onStarted(call);
    this.attempt = this.context.runner.start(call, key, (outcome) => {
      if (outcome.kind === 'answered') this.answer(call, outcome.answer, outcome.server);
      else this.refuse(outcome);
    });
  }

  private answer(call: callTypes.ICall, answer: callTypes.IAnswer, server: string): void {
    if (this.ended) return;
    if (!statuses.isFinal(answer.status)) {
      const detail = `the answer has the status ${answer.status}`;
      this.refuse({ kind: 'unknown', reason: 'answer-truncated', detail, dispatched: true });
      return;
    }
    const { protocol, writer } = this.context;
    const { response, closesConnection } = this;
    this.owner.holdReply(response, answer.body.length);
    responseWriter.writeAnswer(response, call, answer, protocol, closesConnection, writer);
    this.finish();
    const latencyMs = this.context.clock.monotonicMs() - this.startMs;
    this.context.observer.onAnswered(call, answer.status, server, latencyMs);
  }

  /** Refuses a request before it became a call, so its key, if any, is not claimed yet. */
  private refuseUnclaimed(refusal: serverTypes.NotRun): void {
    this.refusing = true;
    this.bodyTimer?.dispose();
    this.reader?.stop();
    const { daemonState, runner } = this.context;
    const keyUse = this.context.protocol.findKey(this.request, daemonState.table);
    if (keyUse === undefined) {
      this.refuse(refusal);
      return;
    }
    runner.refuse(keyUse.key, keyUse.service, refusal).then(
      (decided) => this.refuse(decided),
      (error: Error) =>
        this.refuse({
          kind: 'unknown',
          reason: 'key-issuer-unavailable',
          detail: error.message,
          dispatched: false,
        }),
    );
  }

  private refuse(refusal: serverTypes.Refusal): void {
    if (this.ended) return;
    const record = this.report(refusal);
    const reply = this.context.protocol.toLocalReply(record);
    responseWriter.writeRefusal(this.response, reply, this.closesConnection);
    this.finish();
  }

  private report(refusal: serverTypes.Refusal): serverTypes.IRefusalRecord {
    const record = {
      requestId: this.requestId,
      service: this.service,
      kind: refusal.reason,
      outcome: refusal.kind,
      detail: refusal.detail,
      dispatched: refusal.kind === 'unknown' && refusal.dispatched,
      retryAfterMs: refusal.kind === 'not-run' ? refusal.retryAfterMs : undefined,
      tableVersion: this.table?.version ?? 0,
      configurationVersion: this.table?.routes?.configurationVersion,
      route: this.accepted?.head.route,
      overdueMs: this.overdueMs,
    };
    this.context.observer.onRefused(record, this.context.clock.monotonicMs() - this.startMs);
    return record;
  }

  /** Time by which the deadline of the request has passed, in milliseconds, if it has. */
  private get overdueMs(): number | undefined {
    if (this.accepted === undefined) return undefined;
    const { timeoutMs } = this.accepted.head;
    const overdueMs = this.context.clock.monotonicMs() - this.startMs - timeoutMs;
    return overdueMs > 0 ? Math.round(overdueMs) : undefined;
  }

  private finish(): void {
    this.ended = true;
    this.startWait.dispose();
    this.bodyTimer?.dispose();
    this.reader?.stop();
    this.owner.remove(this);
  }
}
