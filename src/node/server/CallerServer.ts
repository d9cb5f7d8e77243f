import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as net from 'node:net';
import type * as stream from 'node:stream';

import type * as callTypes from '../../common/call/Types';
import * as callerConnection from './CallerConnection';
import * as callerExchange from './CallerExchange';
import * as connectionLimits from './ConnectionLimits';
import * as keyEndpoint from './KeyEndpoint';
import * as listening from './listen';
import * as responseWriter from './ResponseWriter';

/** Default size limit of the headers of a request, in bytes. */
const MAX_HEADER_BYTES = 16 * 1024;

/** Default idle timeout of caller connections, in milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;

/** Interval of the check for header timeouts, in milliseconds. */
const TIMEOUT_CHECK_MS = 1_000;

/**
 * Time, in milliseconds, in which a caller can read a refusal that closes its connection. Closing at
 * once would reset a connection with unread bytes, and the refusal would be lost.
 */
const REFUSAL_LINGER_MS = 1_000;

/** Time for the first request on a connection that a caller opened during a stop, in milliseconds. */
const FIRST_REQUEST_MS = 500;

/** Limit on the turns of the event loop in which established connections are accepted at a stop. */
const MAX_ACCEPTING_TURNS = 1_000;

/** Dependencies of a caller server. */
export interface ICallerServerContext extends callerExchange.IExchangeContext {
  /** Issues request keys. If undefined, no keys are issued. */
  readonly issueKeys?: keyEndpoint.IKeyEndpointContext['issueKeys'];
  /** Called when the daemon closes a connection because of a limit. */
  readonly onConnectionClosed?: (closure: connectionLimits.IClosure) => void;
}

/** Serves callers over HTTP/1.1. */
export class CallerServer {
  private readonly connections = new Map<stream.Duplex, callerConnection.CallerConnection>();

  /** Connections on which no request has arrived, with the monotonic time at which they opened. */
  private readonly openedMs = new Map<stream.Duplex, number>();

  private readonly limits: connectionLimits.ConnectionLimits;

  private acceptedCount = 0;

  private readonly server: http.Server;

  private readonly keyEndpoint: keyEndpoint.KeyEndpoint | undefined;

  /** @param maxHeaderBytes Maximum size of request headers. Larger ones are not read to the end. */
  public constructor(
    private readonly context: ICallerServerContext,
    private readonly maxHeaderBytes = MAX_HEADER_BYTES,
  ) {
    this.limits = new connectionLimits.ConnectionLimits((closure) =>
      context.onConnectionClosed?.(closure),
    );
    this.server = http.createServer({
      maxHeaderSize: maxHeaderBytes,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_MS,
      // Node.js would refuse a request without `host` itself, without the headers of a refusal.
      requireHostHeader: false,
    });
    const { issueKeys } = context;
    if (issueKeys !== undefined) {
      this.keyEndpoint = new keyEndpoint.KeyEndpoint({ ...context, issueKeys });
    }
    this.setLimits(connectionLimits.DEFAULTS);
    // Node.js silently drops headers beyond this count. 0 removes the limit; the size limit stays.
    this.server.maxHeadersCount = 0;
    const serve = (request: http.IncomingMessage, response: http.ServerResponse) =>
      this.serve(request, response);
    this.server.on('request', serve);
    this.server.on('checkContinue', serve);
    this.server.on('checkExpectation', serve);
    this.server.on('connection', (socket: net.Socket) => this.trackConnection(socket));
    this.server.on('connect', (_request, socket: stream.Duplex) => this.refuseTunnel(socket));
    this.server.on('timeout', (socket: net.Socket) => this.handleTimeout(socket));
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: stream.Duplex) =>
      this.handleClientError(error, socket),
    );
  }

  /** Number of requests without a response. */
  public get exchangesInFlight(): number {
    return [...this.connections.values()].reduce((sum, { size }) => sum + size, 0);
  }

  /** Number of open connections. */
  public get connectionCount(): number {
    return this.connections.size;
  }

  /** Starts listening. Rejects if the address cannot be used. */
  public listen(host: string, port: number, onError: listening.ErrorListener): Promise<void> {
    return listening.listen(this.server, host, port, onError);
  }

  /** Actual port, for a server that listens on port 0. */
  public get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Sets the timeouts for request headers and for idle connections. */
  public setTimeouts(headersMs: number, idleMs: number): void {
    this.server.headersTimeout = headersMs;
    this.server.keepAliveTimeout = idleMs;
  }

  /** Sets the limits on connections, which apply to those that open from then on. */
  public setLimits(limits: connectionLimits.ICallerLimits): void {
    this.limits.set(limits);
    this.server.timeout = limits.answerReadMs;
  }

  /** Whether callers have connections on which their first request is about to arrive. */
  public get expectsRequests(): boolean {
    const sinceMs = this.context.clock.monotonicMs() - FIRST_REQUEST_MS;
    return this.server.listening || [...this.openedMs.values()].some((ms) => ms > sinceMs);
  }

  /**
   * Stops accepting connections, closes idle ones, and resolves when all others are closed. Those that
   * are already established are accepted first: the operating system would reset them.
   */
  public async close(): Promise<void> {
    await this.acceptEstablished();
    await new Promise<void>((resolve) => {
      // `http.Server.close` closes connections on which a response is still being written.
      net.Server.prototype.close.call(this.server, () => resolve());
      this.connections.forEach((connection) => connection.closeIfIdle());
    });
  }

  /** Whether bytes of responses wait for callers that read slowly. */
  public get hasUnsentBytes(): boolean {
    return [...this.connections.values()].some(({ unsentBytes }) => unsentBytes > 0);
  }

  /** Ends all requests with a response, because the daemon stops. */
  public endForStop(): void {
    this.connections.forEach((connection) => connection.endForStop());
  }

  /**
   * Stops accepting connections, and closes all immediately, including those with exchanges in
   * flight.
   */
  public closeNow(): Promise<void> {
    return listening.closeNow(this.server);
  }

  /** Handles that nothing was sent or taken by the caller for a while. */
  private handleTimeout(socket: net.Socket): void {
    const connection = this.connections.get(socket);
    if (connection !== undefined && socket.writableLength > 0) connection.end('unread');
    // A request runs, and may take longer; answers to later ones wait behind it.
    else if (connection?.hasResponsesDue === true) socket.setTimeout(this.server.timeout);
    else CallerServer.closeIdle(socket);
  }

  /** Closes a connection at its idle timeout, unless a request has arrived during a pause. */
  private static closeIdle(socket: net.Socket): void {
    const { bytesRead } = socket;
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) socket.destroy();
    });
  }

  /** Accepts connections until a turn of the event loop brings none. Each turn accepts one. */
  private async acceptEstablished(): Promise<void> {
    for (let turn = 0; turn < MAX_ACCEPTING_TURNS && this.server.listening; turn += 1) {
      const { acceptedCount } = this;
      // Runs right after the sockets were read, so that hardly any time is left for new ones.
      await new Promise(setImmediate);
      if (this.acceptedCount === acceptedCount) return;
    }
  }

  private trackConnection(socket: net.Socket): void {
    this.acceptedCount += 1;
    this.openedMs.set(socket, this.context.clock.monotonicMs());
    const { budget } = this.context;
    const connection = new callerConnection.CallerConnection(socket, budget, this.limits);
    this.connections.set(socket, connection);
    // Node.js removes its own listener when it hands a socket over, as for CONNECT. The end of the
    // connection is reported with each of its requests.
    socket.on('error', () => socket.destroy());
    socket.once('close', () => {
      this.connections.delete(socket);
      this.openedMs.delete(socket);
      this.limits.close(connection);
      connection.abandon();
    });
    this.limits.open(connection);
  }

  private serve(request: http.IncomingMessage, response: http.ServerResponse): void {
    this.openedMs.delete(request.socket);
    const connection = this.connections.get(request.socket);
    connection?.feed.expectBody(Number(request.headers['content-length'] ?? 0));
    if (
      this.keyEndpoint !== undefined &&
      request.url?.startsWith(keyEndpoint.RESERVED_PREFIX) === true
    ) {
      this.keyEndpoint.serve(request, response);
      return;
    }
    // The socket closed after the request was read, and nobody waits for the response.
    if (connection === undefined || request.socket.destroyed) return;
    const { context } = this;
    const exchange = new callerExchange.CallerExchange(request, response, context, connection);
    // Node.js discards what it has read behind such a request.
    if (request.headers.upgrade !== undefined) exchange.closeAfterwards();
    connection.add(exchange);
  }

  private handleClientError(error: NodeJS.ErrnoException, socket: stream.Duplex): void {
    if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') this.awaitUnreadHead(error, socket);
    else this.refuseClient(error, socket);
  }

  /**
   * Handles a header timeout after the bytes that have already arrived were read. After a pause of
   * the process, Node.js runs its timers before it reads the sockets.
   */
  private awaitUnreadHead(error: NodeJS.ErrnoException, socket: stream.Duplex): void {
    const connection = this.connections.get(socket);
    const readCount = connection?.readCount;
    setImmediate(() => {
      if (socket.destroyed || connection?.readCount !== readCount) return;
      this.refuseClient(error, socket);
    });
  }

  private refuseTunnel(socket: stream.Duplex): void {
    // Node.js has handed the socket over. A connection with unread bytes would be reset at its end.
    socket.resume();
    const connection = this.connections.get(socket);
    connection?.feed.discard();
    if (connection?.hasResponsesDue === true) connection.closeAfterwards();
    else {
      const detail = 'the method CONNECT is not supported';
      this.refuseOnSocket(socket, 'malformed-request', detail);
    }
  }

  private refuseClient(error: NodeJS.ErrnoException, socket: stream.Duplex): void {
    const connection = this.connections.get(socket);
    const reading = connection?.reading;
    // The parser takes nothing more after an error of its own.
    if (error.code?.startsWith('HPE_') === true) connection?.feed.discard();
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
    } else if (reading !== undefined) {
      reading.refuseBody(`the body is malformed (${error.code ?? error.message})`);
    } else if (connection?.hasResponsesDue === true) {
      // The caller would take bytes written now for the response to an earlier request.
      connection.closeAfterwards();
    } else if (error.code === 'HPE_HEADER_OVERFLOW') {
      const detail = `the headers exceed ${this.maxHeaderBytes} bytes`;
      this.refuseOnSocket(socket, 'headers-too-large', detail);
    } else if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
      const detail = 'no whole head arrived within the time for it';
      this.refuseOnSocket(socket, 'request-incomplete', detail);
    } else {
      const detail = `the request is malformed (${error.code ?? error.message})`;
      this.refuseOnSocket(socket, 'malformed-request', detail);
    }
  }

  private refuseOnSocket(socket: stream.Duplex, kind: callTypes.NotRunKind, detail: string): void {
    const record = {
      requestId: crypto.randomUUID(),
      service: '',
      kind,
      outcome: 'not-run' as const,
      detail,
      dispatched: false,
      tableVersion: this.context.daemonState.table?.version ?? 0,
    };
    this.context.observer.onRefused(record, 0);
    // The refusal states that nothing was run, so what arrives after it must not run either.
    this.connections.get(socket)?.rejectLater();
    const linger = this.context.clock.setTimer(REFUSAL_LINGER_MS, () => socket.destroy());
    socket.once('close', () => linger.dispose());
    socket.end(responseWriter.serializeRefusal(this.context.protocol.toLocalReply(record)));
  }
}
