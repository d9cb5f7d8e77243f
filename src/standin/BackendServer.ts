import * as http from 'node:http';
import * as net from 'node:net';

import * as emitter from '../common/Emitter';
import * as answers from './Answers';
import * as runQueue from './RunQueue';
import type * as standinTypes from './Types';

/** Header that identifies a request to the tests. */
export const IDENTITY_HEADER = 'test-identity';

/** Header that makes a server crash when it runs the request. */
export const CRASH_HEADER = 'test-crash';

const DEFAULT_QUEUE_LIMIT = 1_000;
const DEFAULT_MAX_CONNECTIONS = 250;
const DEFAULT_STARTING_FACTOR = 5;

const NO_FAULTS: standinTypes.IBackendFaults = {
  slowFactor: 1,
  refuse: 'no',
  loadReport: 'true',
  answer: 'complete',
  delayMs: 0,
};

function readBody(request: http.IncomingMessage): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.once('end', () => resolve(Buffer.concat(chunks)));
    request.once('error', reject);
  });
}

/** Stand-in for a backend server, with injectable faults and a record of the requests it ran. */
export class BackendServer {
  public readonly faults: standinTypes.IBackendFaults = { ...NO_FAULTS };

  private readonly crashEmitter = new emitter.Emitter<void>();

  /** Fires when a request with the crash header has crashed the server. */
  public readonly onCrash = this.crashEmitter.event;

  private readonly runEmitter = new emitter.Emitter<standinTypes.IRun>();

  /** Fires when a request starts to run. */
  public readonly onRun = this.runEmitter.event;

  private readonly runs: standinTypes.IRun[] = [];

  private readonly probesMs: number[] = [];

  private refused = 0;

  private cancelled = 0;

  private readonly queue: runQueue.RunQueue;

  private readonly sockets = new Set<net.Socket>();

  private readonly silentSockets = new WeakSet<net.Socket>();

  private drainingSinceMs: number | undefined;

  private listeningSinceMs = 0;

  private frozenReport: { inFlight: number; queued: number } | undefined;

  private server: http.Server | undefined;

  public constructor(
    private readonly options: standinTypes.IBackendOptions,
    private readonly sources: standinTypes.IStandInSources,
  ) {
    this.queue = new runQueue.RunQueue(options.slots, sources.clock);
  }

  public get record(): standinTypes.IBackendRecord {
    const { runs, probesMs, refused, cancelled } = this;
    return { runs, probesMs, refused, cancelled };
  }

  /** Number of requests that are running or queued. */
  public get inFlight(): number {
    return this.queue.runningCount + this.queue.queuedCount;
  }

  public get isListening(): boolean {
    return this.server !== undefined;
  }

  public get state(): standinTypes.BackendState {
    if (this.drainingSinceMs !== undefined) return 'draining';
    const sinceMs = this.nowMs() - this.listeningSinceMs;
    return sinceMs < (this.options.startingMs ?? 0) ? 'starting' : 'ready';
  }

  /** Accepts connections on `port`. Each call starts a new warm-up period, as after a crash. */
  public listen(port = 0, host = '127.0.0.1'): Promise<number> {
    const server = http.createServer({ keepAliveTimeout: 0 }, (request, response) => {
      this.receive(request, response).catch(() => undefined);
    });
    server.maxConnections = this.options.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
    server.on('connection', (socket: net.Socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    this.server = server;
    this.listeningSinceMs = this.nowMs();
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => resolve((server.address() as net.AddressInfo).port));
    });
  }

  /** Destroys every connection and stops listening, as when the process is killed. */
  public close(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    this.queue.clear();
    return new Promise((resolve) => {
      if (server === undefined) {
        resolve();
        return;
      }
      server.close(() => resolve());
      this.sockets.forEach((socket) => socket.destroy());
    });
  }

  /** Sets or clears the draining state. Requests in flight continue. */
  public setDraining(draining: boolean): void {
    this.drainingSinceMs = draining ? (this.drainingSinceMs ?? this.nowMs()) : undefined;
  }

  public setFaults(faults: Partial<standinTypes.IBackendFaults>): void {
    if (faults.loadReport === 'frozen') this.frozenReport = this.currentLoad();
    Object.assign(this.faults, faults);
  }

  public clearFaults(): void {
    Object.assign(this.faults, NO_FAULTS);
  }

  /** Stops answering on all established connections. New connections are answered. */
  public silenceConnections(): void {
    this.sockets.forEach((socket) => this.silentSockets.add(socket));
  }

  private nowMs(): number {
    return this.sources.clock.monotonicMs();
  }

  private async receive(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    if (this.silentSockets.has(request.socket)) return;
    if (request.url === '/load' || request.url === '/health') {
      this.answerProbe(request.url, response);
      return;
    }
    const arrivedMs = this.nowMs();
    const drainingForMs =
      this.drainingSinceMs === undefined ? undefined : arrivedMs - this.drainingSinceMs;
    const identity = String(request.headers[IDENTITY_HEADER] ?? '');
    if (this.faults.refuse !== 'no') {
      this.refuse(request, response, this.faults.refuse === 'not-run');
      return;
    }
    if (this.faults.answer === 'early') {
      response.writeHead(413, { 'content-type': 'application/json', ...this.reportHeaders() });
      response.end(JSON.stringify({ identity }));
      request.resume();
      return;
    }
    const body = await readBody(request);
    this.enqueue(request, response, body, { identity, arrivedMs, drainingForMs });
  }

  private enqueue(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    body: Buffer,
    run: standinTypes.IRun,
  ): void {
    if (this.queue.queuedCount >= (this.options.queueLimit ?? DEFAULT_QUEUE_LIMIT)) {
      this.refuse(request, response, true);
      return;
    }
    const item: runQueue.IQueuedRequest = {
      onStart: () => this.start(request, response, run),
      onFinish: () => this.finish(response, run.identity, body),
    };
    response.once('close', () => {
      if (response.writableFinished) return;
      this.cancelled += 1;
      this.queue.remove(item);
    });
    if (this.faults.delayMs === 0) this.queue.add(item);
    else this.sources.clock.setTimer(this.faults.delayMs, () => this.queue.add(item));
  }

  private start(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    run: standinTypes.IRun,
  ): number | undefined {
    if (request.socket.destroyed) return undefined;
    if (this.isPastDeadline(request, run.arrivedMs)) {
      this.refuse(request, response, true);
      return undefined;
    }
    this.runs.push(run);
    this.runEmitter.fire(run);
    if (request.headers[CRASH_HEADER] !== undefined) {
      this.close().catch(() => undefined);
      this.crashEmitter.fire();
      return undefined;
    }
    const isStarting = this.state === 'starting';
    const startingFactor = isStarting
      ? (this.options.startingFactor ?? DEFAULT_STARTING_FACTOR)
      : 1;
    const meanMs = this.options.serviceMs * this.faults.slowFactor * startingFactor;
    return meanMs * 2 * this.sources.random.next();
  }

  private isPastDeadline(request: http.IncomingMessage, arrivedMs: number): boolean {
    const deadline = Number(request.headers['request-deadline'] ?? Infinity);
    const timeoutMs = Number(request.headers['request-timeout-ms'] ?? Infinity);
    const late = this.sources.clock.wallTime().getTime() >= deadline;
    return late || this.nowMs() - arrivedMs >= timeoutMs;
  }

  private finish(response: http.ServerResponse, identity: string, body: Buffer): void {
    if (response.destroyed || this.silentSockets.has(response.socket as net.Socket)) return;
    answers.writeAnswer(response, this.faults.answer, identity, body, this.reportHeaders());
  }

  private refuse(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    hasMarker: boolean,
  ): void {
    this.refused += hasMarker ? 1 : 0;
    request.resume();
    response.writeHead(503, {
      ...this.reportHeaders(),
      ...(hasMarker ? { 'request-outcome': 'not-run' } : {}),
    });
    response.end();
  }

  private answerProbe(path: string, response: http.ServerResponse): void {
    this.probesMs.push(this.nowMs());
    const { state } = this;
    if (path === '/health') {
      response.writeHead(state === 'ready' ? 200 : 503).end(JSON.stringify({ state }));
      return;
    }
    response.end(JSON.stringify({ ...this.reportedLoad(), slots: this.options.slots, state }));
  }

  private currentLoad(): { inFlight: number; queued: number } {
    return { inFlight: this.queue.runningCount, queued: this.queue.queuedCount };
  }

  private reportedLoad(): { inFlight: number; queued: number } {
    if (this.faults.loadReport === 'idle') return { inFlight: 0, queued: 0 };
    if (this.faults.loadReport === 'frozen') return this.frozenReport ?? this.currentLoad();
    return this.currentLoad();
  }

  private reportHeaders(): http.OutgoingHttpHeaders {
    const { state } = this;
    const stateHeaders = state === 'ready' ? {} : { 'backend-state': state };
    if (this.faults.loadReport === 'absent') return stateHeaders;
    const { inFlight, queued } = this.reportedLoad();
    const metrics = `named_metrics.in_flight=${inFlight}, named_metrics.queued=${queued}`;
    return { 'endpoint-load-metrics': `TEXT ${metrics}`, ...stateHeaders };
  }
}
