import * as crypto from 'node:crypto';
import type * as http from 'node:http';

import type * as callCoordinator from '../../common/call/CallCoordinator';
import type * as serviceBalancer from '../../common/call/ServiceBalancer';
import type * as callTypes from '../../common/call/Types';
import type * as tableTypes from '../../common/table/Types';
import type * as types from '../../common/Types';
import * as bodyReader from './BodyReader';
import * as requestHead from './RequestHead';
import * as responseWriter from './ResponseWriter';
import type * as serverTypes from './Types';

const FINGERPRINT_LENGTH = 22;

/** What an exchange with a caller needs from its surroundings. */
export interface IExchangeContext {
  readonly routes: serverTypes.IRoutes;
  readonly coordinator: callCoordinator.CallCoordinator;
  readonly observer: serverTypes.IRequestObserver;
  readonly clock: types.IClock;
  /** Called before a request is looked at, to notice a pause of the process. */
  beforeRequest(): void;
}

interface IAccepted {
  readonly head: requestHead.IRequestHead;
  readonly table: tableTypes.ITable;
  readonly balancer: serviceBalancer.ServiceBalancer;
}

function fingerprintOf(method: string, path: string, body: Uint8Array): string {
  const hash = crypto.createHash('sha256').update(`${method} ${path}\n`).update(body);
  return hash.digest('base64url').slice(0, FINGERPRINT_LENGTH);
}

/** One request of a caller, from its headers to the end of its response. */
export class CallerExchange {
  private readonly requestId = crypto.randomUUID();

  private readonly startMs: number;

  private reader: bodyReader.BodyReader | undefined;

  private running: callTypes.IAttempt | undefined;

  private bodyTimer: types.IDisposable | undefined;

  private tableVersion = 0;

  private service = '';

  private closing = false;

  private ended = false;

  /** @param onEnd Called once, when the response was handed over or the caller has gone. */
  public constructor(
    private readonly request: http.IncomingMessage,
    private readonly response: http.ServerResponse,
    private readonly context: IExchangeContext,
    private readonly onEnd: () => void,
  ) {
    this.startMs = context.clock.monotonicMs();
  }

  /** Whether the body of the request has not arrived in full. */
  public get isReading(): boolean {
    return this.reader !== undefined && this.running === undefined && !this.ended;
  }

  public begin(): void {
    this.context.beforeRequest();
    const accepted = this.accept();
    if ('kind' in accepted) {
      this.refuse(accepted);
      return;
    }
    const { head } = accepted;
    this.reader = new bodyReader.BodyReader(this.request, head.service.maxRequestBytes, (result) =>
      this.takeBody(accepted, result),
    );
    if (bodyReader.BodyReader.announced(this.request)) this.awaitBody(head);
    this.reader.begin();
  }

  /** Ends the exchange because the caller has closed its connection. */
  public abandon(): void {
    if (this.ended) return;
    const dispatched = this.running !== undefined;
    this.running?.cancel();
    this.finish();
    const reason = 'cancelled-by-caller';
    const detail = 'the caller closed its connection';
    this.report({ kind: 'unknown', reason, detail, dispatched });
  }

  /** Refuses a request whose body is malformed. */
  public refuseBody(detail: string): void {
    this.closing = true;
    this.refuse(requestHead.notRun('malformed-request', detail));
  }

  /** Makes this the last exchange of its connection. */
  public closeAfterwards(): void {
    this.closing = true;
    this.response.shouldKeepAlive = false;
  }

  private accept(): IAccepted | serverTypes.Refusal {
    const { routes } = this.context;
    const { table } = routes;
    this.tableVersion = table?.version ?? 0;
    if (routes.phase === 'stopping') {
      return requestHead.notRun('shutting-down', 'the daemon is about to stop');
    }
    if (table === undefined || routes.phase === 'starting') {
      return requestHead.notRun('not-ready', 'the daemon is not ready yet');
    }
    const head = requestHead.readHead(this.request, table);
    if ('kind' in head) return head;
    this.service = head.service.name;
    const balancer = routes.balancerOf(head.service.name);
    if (balancer !== undefined) return { head, table, balancer };
    return requestHead.notRun('no-backend-server', 'the service has no balancer');
  }

  private awaitBody(head: requestHead.IRequestHead): void {
    if (this.request.headers.expect !== undefined && this.request.httpVersion === '1.1') {
      const stated = Number(this.request.headers['content-length'] ?? 0);
      if (stated <= head.service.maxRequestBytes) this.response.writeContinue();
    }
    this.bodyTimer = this.context.clock.setTimer(head.timeoutMs, () => {
      const detail = 'the deadline passed before the body of the request arrived';
      this.refuse(requestHead.notRun('deadline-before-dispatch', detail));
    });
  }

  private takeBody(accepted: IAccepted, result: bodyReader.BodyResult): void {
    this.bodyTimer?.dispose();
    if (result.kind === 'too-large') {
      const { maxRequestBytes } = accepted.head.service;
      const detail = `the body exceeds ${maxRequestBytes} bytes`;
      this.refuse(requestHead.notRun('body-too-large', detail));
      return;
    }
    this.run(this.toCall(accepted, result.body), accepted.balancer);
  }

  private toCall({ head, table }: IAccepted, body: Uint8Array): callTypes.ICall {
    const method = this.request.method ?? 'GET';
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
      fingerprint: fingerprintOf(method, head.path, body),
    };
  }

  private run(call: callTypes.ICall, balancer: serviceBalancer.ServiceBalancer): void {
    this.context.observer.onStarted(call);
    this.running = this.context.coordinator.start(call, balancer, (outcome) => {
      if (outcome.kind === 'answered') this.answer(call, outcome.answer, outcome.server);
      else this.refuse(outcome);
    });
  }

  private answer(call: callTypes.ICall, answer: callTypes.IAnswer, server: string): void {
    if (this.ended) return;
    responseWriter.writeAnswer(this.response, call, answer, this.isLast());
    this.finish();
    const latencyMs = this.context.clock.monotonicMs() - this.startMs;
    this.context.observer.onAnswered(call, answer.status, server, latencyMs);
  }

  private refuse(refusal: serverTypes.Refusal): void {
    if (this.ended) return;
    const record = this.report(refusal);
    responseWriter.writeRefusal(this.response, record, this.isLast());
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
      tableVersion: this.tableVersion,
    };
    this.context.observer.onRefused(record, this.context.clock.monotonicMs() - this.startMs);
    return record;
  }

  private isLast(): boolean {
    const { phase } = this.context.routes;
    return this.closing || phase === 'draining' || phase === 'stopping';
  }

  private finish(): void {
    this.ended = true;
    this.bodyTimer?.dispose();
    this.reader?.stop();
    this.onEnd();
  }
}
