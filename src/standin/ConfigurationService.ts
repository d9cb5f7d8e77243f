import * as http from 'node:http';
import type * as net from 'node:net';

/** Behaviour of the stand-in when it is read. */
export type ServiceMode = 'up' | 'down' | 'stale';

interface IValue {
  revision: number;
  text: string;
}

/** Stand-in for the platform's configuration service: values that can be read and watched. */
export class ConfigurationService {
  /** Reads and watches received. */
  public calls = 0;

  private mode: ServiceMode = 'up';

  private readonly values = new Map<string, IValue>();

  private frozen = new Map<string, IValue>();

  private readonly server = http.createServer((request, response) => this.serve(request, response));

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

  /** Publishes a value under the next revision. */
  public publish(name: string, text: string): void {
    const revision = (this.values.get(name)?.revision ?? 0) + 1;
    this.values.set(name, { revision, text });
  }

  /** In mode `stale`, reads return the values of the moment of the call. */
  public setMode(mode: ServiceMode): void {
    this.mode = mode;
    this.frozen = new Map(this.values);
  }

  private serve(request: http.IncomingMessage, response: http.ServerResponse): void {
    this.calls += 1;
    if (this.mode === 'down') {
      request.socket.destroy();
      return;
    }
    const url = new URL(request.url ?? '/', 'http://platform');
    const values = this.mode === 'stale' ? this.frozen : this.values;
    const value = values.get(url.pathname.replace('/values/', ''));
    if (value === undefined) {
      response.writeHead(404).end();
    } else if (value.revision <= Number(url.searchParams.get('after') ?? 0)) {
      response.writeHead(304).end();
    } else {
      response.writeHead(200, { revision: `${value.revision}` }).end(value.text);
    }
  }
}
