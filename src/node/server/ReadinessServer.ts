import * as http from 'node:http';

import * as listening from './listen';

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_ERROR = 500;
const STATUS_UNAVAILABLE = 503;

/** Text pages, by path, that are served in addition to the readiness check. */
export type TextPages = ReadonlyMap<string, () => Promise<string>>;

/** Serves the readiness check of the platform's balancer over HTTP/1.1. */
export class ReadinessServer {
  private readonly server = http.createServer((request, response) => this.serve(request, response));

  /** @param path Path of the readiness check. */
  public constructor(
    private readonly path: string,
    private readonly isReady: () => boolean,
    private readonly pages: TextPages,
  ) {}

  /** Starts listening. Rejects if the address cannot be used. */
  public listen(host: string, port: number, onError: listening.ErrorListener): Promise<void> {
    return listening.listen(this.server, host, port, onError);
  }

  /** Stops listening and closes all connections immediately. */
  public close(): Promise<void> {
    return listening.closeNow(this.server);
  }

  private serve(request: http.IncomingMessage, response: http.ServerResponse): void {
    const page = this.pages.get(request.url ?? '');
    if (page !== undefined) this.servePage(page, response);
    else this.serveReadiness(request, response);
  }

  private servePage(page: () => Promise<string>, response: http.ServerResponse): void {
    page().then(
      (text) => {
        response.writeHead(STATUS_OK, { 'content-type': 'text/plain; charset=utf-8' });
        response.end(text);
      },
      (error: Error) => {
        response.writeHead(STATUS_ERROR, { 'content-type': 'text/plain; charset=utf-8' });
        response.end(error.message);
      },
    );
  }

  private serveReadiness(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (request.url !== this.path) response.writeHead(STATUS_NOT_FOUND);
    else response.writeHead(this.isReady() ? STATUS_OK : STATUS_UNAVAILABLE);
    response.end();
  }
}
