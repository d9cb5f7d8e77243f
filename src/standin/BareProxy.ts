import * as http from 'node:http';
import type * as net from 'node:net';

import * as undici from 'undici';

/**
 * Baseline of the overhead bench: a minimal round-robin proxy that uses only `node:http` and
 * `undici`, and streams the answers.
 */
export class BareProxy {
  private next = 0;

  private readonly clients: readonly undici.Pool[];

  private readonly server = http.createServer((request, response) =>
    this.forward(request, response),
  );

  /** @param addresses IP addresses and ports of the servers. */
  public constructor(addresses: readonly string[]) {
    this.clients = addresses.map(
      (address) => new undici.Pool(`http://${address}`, { pipelining: 1, connections: 64 }),
    );
  }

  public listen(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(0, '127.0.0.1', () =>
        resolve((this.server.address() as net.AddressInfo).port),
      );
    });
  }

  private forward(request: http.IncomingMessage, response: http.ServerResponse): void {
    const client = this.clients[this.next % this.clients.length] as undici.Pool;
    this.next += 1;
    const { host, connection, 'transfer-encoding': encoding, ...headers } = request.headers;
    const hasBody = encoding !== undefined || headers['content-length'] !== undefined;
    client.stream(
      {
        path: request.url ?? '/',
        method: request.method as undici.Dispatcher.HttpMethod,
        headers,
        body: hasBody ? request : null,
        opaque: response,
      },
      (reply) => {
        response.writeHead(reply.statusCode, reply.headers);
        return response;
      },
      (error) => {
        if (error === null) return;
        if (!response.headersSent) response.writeHead(502);
        response.end();
      },
    );
  }
}
