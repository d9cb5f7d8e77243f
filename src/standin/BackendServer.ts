import * as crypto from 'node:crypto';
import * as http from 'node:http';
import type * as net from 'node:net';

/** Settings of a backend server stand-in. */
export interface IBackendOptions {
  readonly slots: number;
  /** Mean time to run a request, in milliseconds. */
  readonly serviceMs: number;
}

interface IWaiting {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly body: Buffer;
}

/** Stand-in for a backend server: slots, a queue, a load report and a record of what ran. */
export class BackendServer {
  /** How often each request ran, by the header `test-identity`. */
  public readonly runs = new Map<string, number>();

  /** Probes received. */
  public probes = 0;

  public draining = false;

  private readonly queue: IWaiting[] = [];

  private inFlight = 0;

  private readonly server = http.createServer((request, response) =>
    this.receive(request, response),
  );

  public constructor(private readonly options: IBackendOptions) {}

  public listen(port = 0): Promise<number> {
    return new Promise((resolve) => {
      this.server.listen(port, '127.0.0.1', () =>
        resolve((this.server.address() as net.AddressInfo).port),
      );
    });
  }

  public close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private receive(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (request.url === '/load') {
      this.probes += 1;
      const state = this.draining ? 'draining' : 'ready';
      const { slots } = this.options;
      const load = { inFlight: this.inFlight, queued: this.queue.length, slots, state };
      response.end(JSON.stringify(load));
      return;
    }
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.once('end', () => {
      this.queue.push({ request, response, body: Buffer.concat(chunks) });
      this.runNext();
    });
  }

  private runNext(): void {
    if (this.inFlight >= this.options.slots) return;
    const next = this.queue.shift();
    if (next === undefined) return;
    this.inFlight += 1;
    const identity = String(next.request.headers['test-identity'] ?? '');
    this.runs.set(identity, (this.runs.get(identity) ?? 0) + 1);
    setTimeout(() => this.finish(next, identity), this.options.serviceMs * 2 * Math.random());
  }

  private finish(run: IWaiting, identity: string): void {
    this.inFlight -= 1;
    const checksum = crypto.createHash('sha256').update(identity).update(run.body).digest('hex');
    const load = [
      `named_metrics.in_flight=${this.inFlight}`,
      `named_metrics.queued=${this.queue.length}`,
    ];
    run.response.writeHead(200, {
      'content-type': 'application/json',
      'endpoint-load-metrics': `TEXT ${load.join(', ')}`,
      ...(this.draining ? { 'backend-state': 'draining' } : {}),
    });
    run.response.end(JSON.stringify({ identity, checksum }));
    this.runNext();
  }
}
