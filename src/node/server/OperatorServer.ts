import * as http from 'node:http';

import * as findMyWay from 'find-my-way';

import type * as diagnostics from './Diagnostics';
import * as listening from './listen';

const OK = 200;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;

function reply(response: http.ServerResponse, status: number, content: unknown): void {
  const body = JSON.stringify(content);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}

/** Read-only HTTP/1.1 server for operators and for the health check of the platform. */
export class OperatorServer {
  private readonly router = findMyWay({
    defaultRoute: (request, response) =>
      reply(response, NOT_FOUND, {
        error: `there is no ${request.method} ${request.url}`,
        paths: OperatorServer.PATHS,
      }),
  });

  private readonly server = http.createServer((request, response) =>
    this.router.lookup(request, response),
  );

  private static readonly PATHS = [
    '/ready',
    '/status',
    '/explain/server/<address>',
    '/explain/refusals',
    '/explain/budget',
    '/explain/table',
  ];

  public constructor(private readonly diagnostics: diagnostics.Diagnostics) {
    this.addRoute(
      '/ready',
      () => diagnostics.ready(),
      () => (diagnostics.isReady ? OK : UNAVAILABLE),
    );
    this.addRoute('/status', () => diagnostics.status());
    this.addRoute('/explain/refusals', () => diagnostics.refusals());
    this.addRoute('/explain/budget', () => diagnostics.budget());
    this.addRoute('/explain/table', () => diagnostics.table());
    this.router.on('GET', '/explain/server/:address', (_request, response, params) =>
      this.replyServer(response, params.address ?? ''),
    );
  }

  /** Actual port, for a server that listens on port 0. */
  public get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Starts listening. Rejects if the address cannot be used. */
  public listen(host: string, port: number, onError: listening.ErrorListener): Promise<void> {
    return listening.listen(this.server, host, port, onError);
  }

  /** Stops listening and closes all connections immediately. */
  public close(): Promise<void> {
    return listening.closeNow(this.server);
  }

  private addRoute(path: string, content: () => unknown, status: () => number = () => OK): void {
    this.router.on('GET', path, (_request, response) => reply(response, status(), content()));
  }

  private replyServer(response: http.ServerResponse, address: string): void {
    const found = this.diagnostics.server(address);
    if (found === undefined) {
      reply(response, NOT_FOUND, { error: `the table lists no server ${address}` });
    } else reply(response, OK, found);
  }
}
