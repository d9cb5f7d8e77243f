import type * as callTypes from '../../common/call/Types';
import * as attemptHandler from './AttemptHandler';
import type * as connections from './Connection';
import type * as connectionPool from './ConnectionPool';
import type * as dispatchTypes from './Types';

/** One attempt at a backend server, on a connection from its pool. */
export class PooledAttempt implements callTypes.IAttempt {
  private connection: connections.Connection | undefined;

  private handler: attemptHandler.AttemptHandler | undefined;

  private sent = false;

  private ended = false;

  public constructor(
    private readonly pool: connectionPool.ConnectionPool,
    private readonly request: dispatchTypes.IExchangeRequest,
    private readonly connectionLimit: number,
    private readonly listener: callTypes.IAttemptListener,
  ) {}

  public begin(): void {
    const { idempotent } = this.request;
    this.dispatchOn(
      this.pool.acquire(this.purpose, idempotent, this.connectionLimit, () => this.abandonSilent()),
    );
  }

  /** Whether its connection has carried no earlier exchange. */
  public get isOnNewConnection(): boolean {
    return this.connection?.exchangeCount === 1;
  }

  public cancel(): void {
    if (this.ended) return;
    this.ended = true;
    this.handler?.abort();
    if (this.connection !== undefined) this.pool.abandon(this.connection, !this.sent);
  }

  private get purpose(): 'check' | 'request' {
    return this.request.isCheck ? 'check' : 'request';
  }

  /**
   * Ends an attempt on a silent connection if another one can take its place. Others continue until
   * their deadline, since the server may be at work.
   */
  private abandonSilent(): void {
    if (this.ended || !this.request.idempotent || !this.listener.mayAbandon()) return;
    this.cancel();
    const detail = 'the connection is silent while newer exchanges with the server complete';
    this.listener.onEnd({ kind: 'lost', reason: 'silent', detail });
  }

  private dispatchOn(connection: connections.Connection | undefined): void {
    if (connection === undefined) {
      const detail = 'the connection limit of the server is reached';
      this.deliver({ kind: 'not-sent', reason: 'connection-limit', detail });
      return;
    }
    this.connection = connection;
    const reused = connection.exchangeCount > 0;
    this.handler = new attemptHandler.AttemptHandler(this.request, connection, {
      mayStart: () => this.listener.mayStart(),
      onSent: () => {
        this.sent = true;
        this.listener.onSent();
      },
      onProgress: () => this.pool.recordProgress(connection),
      onLoadReport: (report) => this.listener.onLoadReport(report),
      onEnd: (outcome) => this.finish(connection, reused, outcome),
    });
    connection.dispatch(
      {
        path: this.request.path,
        method: this.request.method,
        headers: this.request.headers as string[],
        body: this.request.body.length > 0 ? this.request.body : null,
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      this.handler,
    );
  }

  private finish(
    connection: connections.Connection,
    reused: boolean,
    outcome: callTypes.AttemptOutcome,
  ): void {
    if (outcome.kind === 'answered' || outcome.kind === 'refused') {
      // If the response came before the whole request was sent, the rest of it is still buffered.
      const isReusable = !connection.isSending && !connection.endedGracefully;
      this.pool.release(connection, isReusable, this.request.isCheck ? 'checked' : 'completed');
    } else {
      this.pool.abandon(connection, true);
    }
    if (outcome.kind === 'not-sent' && outcome.reason === undefined && reused) {
      // The server closed the idle connection as it was reused. Nothing was sent, so retry is safe.
      this.dispatchOn(
        this.pool.acquireNew(this.purpose, this.connectionLimit, () => this.abandonSilent()),
      );
      return;
    }
    this.deliver(outcome);
  }

  private deliver(outcome: callTypes.AttemptOutcome): void {
    if (outcome.kind !== 'not-sent') {
      this.end(outcome);
      return;
    }
    // This can happen during `send`, before its caller has received the attempt.
    queueMicrotask(() => this.end(outcome));
  }

  private end(outcome: callTypes.AttemptOutcome): void {
    if (this.ended) return;
    this.ended = true;
    this.listener.onEnd(outcome);
  }
}
