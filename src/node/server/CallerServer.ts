import * as crypto from 'node:crypto';
import * as http from 'node:http';
import type * as stream from 'node:stream';

import type * as callTypes from '../../common/call/Types';
import * as callerExchange from './CallerExchange';
import * as keyEndpoint from './KeyEndpoint';
import * as listening from './listen';
import * as responseWriter from './ResponseWriter';

/** Default size limit of the headers of a request, in bytes. */
const MAX_HEADER_BYTES = 16 * 1024;

/** Default time for which an idle connection of a caller is kept, in milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;

/** Interval of the check for requests whose headers take too long, in milliseconds. */
const TIMEOUT_CHECK_MS = 1_000;

/** What a caller server needs from its surroundings. */
export interface ICallerServerContext extends callerExchange.IExchangeContext {
  /** Issues request keys; without it, no keys are issued. */
  readonly issueKeys?: keyEndpoint.IKeyEndpointContext['issueKeys'];
}

/** Serves callers over HTTP/1.1. */
export class CallerServer {
  /** Exchanges under way on each connection, in the order of their requests. */
  private readonly exchangesBySocket = new Map<stream.Duplex, Set<callerExchange.CallerExchange>>();

  private readonly server: http.Server;

  private readonly keyEndpoint: keyEndpoint.KeyEndpoint | undefined;

  /** @param maxHeaderBytes Size above which the headers of a request are not read any further. */
  public constructor(
    private readonly context: ICallerServerContext,
    private readonly maxHeaderBytes = MAX_HEADER_BYTES,
  ) {
    this.server = http.createServer({
      maxHeaderSize: maxHeaderBytes,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_MS,
      // Node would refuse such a request itself, without the headers that every response carries.
      requireHostHeader: false,
    });
    const { issueKeys } = context;
    if (issueKeys !== undefined) {
      this.keyEndpoint = new keyEndpoint.KeyEndpoint({ ...context, issueKeys });
    }
    // Node drops headers beyond this number without notice; their size is limited anyway.
    this.server.maxHeadersCount = 0;
    const serve = (request: http.IncomingMessage, response: http.ServerResponse) =>
      this.serve(request, response);
    this.server.on('request', serve);
    this.server.on('checkContinue', serve);
    this.server.on('checkExpectation', serve);
    this.server.on('connection', (socket: stream.Duplex) => this.trackConnection(socket));
    this.server.on('connect', (_request, socket: stream.Duplex) =>
      this.refuseRaw(socket, 'malformed-request', 'the method CONNECT is not supported'),
    );
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: stream.Duplex) =>
      this.handleClientError(error, socket),
    );
  }

  /** Requests that have no response yet. */
  public get exchangesInFlight(): number {
    return [...this.exchangesBySocket.values()].reduce((sum, exchanges) => sum + exchanges.size, 0);
  }

  /** Listens. Rejects if the address cannot be used. */
  public listen(host: string, port: number): Promise<void> {
    return listening.listen(this.server, host, port);
  }

  /** The port in use, for a server that listens on port 0. */
  public get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Sets how long callers may take for the headers of a request, and may keep a connection idle. */
  public setTimeouts(headersMs: number, idleMs: number): void {
    this.server.headersTimeout = headersMs;
    this.server.keepAliveTimeout = idleMs;
  }

  /** Stops accepting connections, and resolves when the last request has its response. */
  public close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  /** Closes all connections, whatever is under way on them. */
  public closeNow(): void {
    this.server.closeAllConnections();
  }

  private trackConnection(socket: stream.Duplex): void {
    const exchanges = new Set<callerExchange.CallerExchange>();
    this.exchangesBySocket.set(socket, exchanges);
    socket.once('close', () => {
      this.exchangesBySocket.delete(socket);
      exchanges.forEach((exchange) => exchange.abandon());
    });
  }

  private serve(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (
      this.keyEndpoint !== undefined &&
      request.url?.startsWith(keyEndpoint.RESERVED_PREFIX) === true
    ) {
      this.keyEndpoint.serve(request, response);
      return;
    }
    const exchanges = this.exchangesBySocket.get(request.socket);
    const exchange = new callerExchange.CallerExchange(request, response, this.context, () =>
      exchanges?.delete(exchange),
    );
    exchanges?.add(exchange);
    exchange.begin();
  }

  private handleClientError(error: NodeJS.ErrnoException, socket: stream.Duplex): void {
    const exchanges = [...(this.exchangesBySocket.get(socket) ?? [])];
    const reading = exchanges.find((exchange) => exchange.isReading);
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
    } else if (reading !== undefined) {
      reading.refuseBody(`the body is malformed (${error.code ?? error.message})`);
    } else if (exchanges.length > 0) {
      // Bytes written now would be taken for the answer to the request that is under way.
      exchanges.at(-1)?.closeAfterwards();
    } else if (error.code === 'HPE_HEADER_OVERFLOW') {
      const detail = `the headers exceed ${this.maxHeaderBytes} bytes`;
      this.refuseRaw(socket, 'headers-too-large', detail);
    } else if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
      this.refuseRaw(socket, 'request-incomplete', 'no whole head arrived within the time for it');
    } else {
      const detail = `the request is malformed (${error.code ?? error.message})`;
      this.refuseRaw(socket, 'malformed-request', detail);
    }
  }

  private refuseRaw(socket: stream.Duplex, kind: callTypes.NotRunKind, detail: string): void {
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
    socket.end(responseWriter.serializeRefusal(this.context.protocol.toLocalReply(record)));
  }
}
