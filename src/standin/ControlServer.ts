import * as http from 'node:http';
import type * as net from 'node:net';

/** A command of a stand-in process. The argument and the result are JSON values. */
export type Command = (argument: never) => unknown;

/** HTTP server through which another process controls a stand-in: `POST /<command>`. */
export class ControlServer {
  private readonly server = http.createServer((request, response) => {
    this.run(request, response).catch((error: Error) => {
      response.writeHead(500).end(JSON.stringify({ error: error.message }));
    });
  });

  public constructor(private readonly commands: Readonly<Record<string, Command>>) {}

  public listen(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(0, '127.0.0.1', () =>
        resolve((this.server.address() as net.AddressInfo).port),
      );
    });
  }

  private async run(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    await new Promise((resolve) => {
      request.once('end', resolve);
    });
    const command = this.commands[(request.url ?? '').slice(1)];
    if (command === undefined) {
      response.writeHead(404).end(JSON.stringify({ error: `unknown command ${request.url}` }));
      return;
    }
    const result = command(JSON.parse(Buffer.concat(chunks).toString('utf8') || 'null') as never);
    response.writeHead(200).end(JSON.stringify(result ?? null));
  }
}
