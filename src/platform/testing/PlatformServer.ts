import * as http from 'node:http';
import type * as net from 'node:net';

/** How the server responds to a request. */
export type ServerAnswer =
  | 'signed'
  | 'unsigned'
  /** Refuses the request and states that it was not run. */
  | 'shed'
  /** Runs the request and responds with status 500. */
  | 'failed'
  /** Runs the request and closes the connection without a response. */
  | 'lost'
  /** Responds with the identifier of another request. */
  | 'foreign'
  /** Runs the request and never responds. */
  | 'mute';

/** Headers in which a server states what it wants. */
export const SERVER_LEAVING = 'Server-Leaving';
export const SERVER_LIMIT = 'Server-Limit';
export const RETRY_AFTER = 'Retry-After';
export const WARMUP_REMAINING = 'Warmup-Remaining';

const HEALTH_PATH = '/health';

/** Stand-in for a backend server of the platform. Records the requests that it runs. */
export class PlatformServer {
  public answer: ServerAnswer = 'signed';

  /** Value of the load header; undefined to omit the header. */
  public load: string | undefined = '0,0,3,100';

  /** Further headers of all responses. */
  public signals: http.OutgoingHttpHeaders = {};

  /** Further headers of the responses to health checks. */
  public checkSignals: http.OutgoingHttpHeaders = {};

  public isHealthy = true;

  /** Service time of a request, in milliseconds. */
  public workMs = 0;

  /** Headers of the requests that were run. */
  public readonly runs: http.IncomingHttpHeaders[] = [];

  /** Called with the identifier of each request that is run. */
  public onRun: (requestId: string) => void = () => undefined;

  /** Called with the identifier of each request, whether it is run or not. */
  public onArrival: (requestId: string) => void = () => undefined;

  /** Called with the identifier of each request whose response has been sent. */
  public onResponse: (requestId: string) => void = () => undefined;

  /** Returns the response body for a request. */
  public bodyOf: (requestId: string) => string = () => `body of ${this.id}`;

  public checks = 0;

  /** Number of requests that it refused as not run. */
  public refusals = 0;

  /** Number of requests whose connection was closed before the response was complete. */
  public abandoned = 0;

  private readonly server = http.createServer((request, response) => {
    request.resume();
    request.once('end', () => this.serve(request, response));
  });

  /** @param id Identifier under which the server registers. */
  public constructor(public id: string) {}

  public async listen(port = 0): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(port, '127.0.0.1', () => resolve());
    });
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  public close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private serve(request: http.IncomingMessage, response: http.ServerResponse): void {
    const load = {
      ...(this.load === undefined ? {} : { 'Server-Load': this.load }),
      ...this.signals,
    };
    if (request.url === HEALTH_PATH) {
      this.checks += 1;
      const headers = { 'Instance-Id': this.id, ...load, ...this.checkSignals };
      response.writeHead(this.isHealthy ? 200 : 503, headers).end();
      return;
    }
    const requestId = `${request.headers['request-id']}`;
    this.onArrival(requestId);
    response.once('finish', () => this.onResponse(requestId));
    const expected = request.headers['expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      response
        .writeHead(421, { 'Request-Id': requestId, 'Instance-Id': this.id, ...this.signals })
        .end();
    } else if (this.answer === 'shed') {
      this.refusals += 1;
      response.writeHead(503, { 'Request-Id': requestId, 'Not-Executed': '1', ...load }).end();
    } else this.run(request, response, load);
  }

  private run(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    load: http.OutgoingHttpHeaders,
  ): void {
    const requestId = `${request.headers['request-id']}`;
    this.runs.push(request.headers);
    this.onRun(requestId);
    response.once('close', () => {
      if (!response.writableFinished) this.abandoned += 1;
    });
    if (this.answer === 'mute') return;
    if (this.answer === 'lost') {
      request.socket.destroy();
      return;
    }
    const id = this.answer === 'foreign' ? 'another' : requestId;
    const signature = this.answer === 'unsigned' ? {} : { 'Response-Signature': 'signature' };
    const headers = { 'Request-Id': id, ...signature, ...load };
    setTimeout(() => {
      response.writeHead(this.answer === 'failed' ? 500 : 200, headers).end(this.bodyOf(requestId));
    }, this.workMs);
  }
}
