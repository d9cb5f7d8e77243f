import * as undici from 'undici';

import type * as types from '../../common/Types';

/** Time to open a connection, in milliseconds, before the attempt counts as not sent. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Idle connections that are kept for one server. */
const MAX_IDLE_CONNECTIONS = 16;

/** Connections to one backend server. Each carries one exchange at a time. */
export class ConnectionPool implements types.IDisposable {
  private readonly idle: undici.Client[] = [];

  private readonly busy = new Set<undici.Client>();

  public constructor(private readonly address: string) {}

  /** Takes an idle connection, the most recently used first, or a new one. */
  public acquire(): undici.Client {
    let connection = this.idle.pop();
    while (connection?.destroyed === true) connection = this.idle.pop();
    const acquired = connection ?? this.open();
    this.busy.add(acquired);
    return acquired;
  }

  /** Returns a connection. One that is not reusable is closed at once. */
  public release(connection: undici.Client, reusable: boolean): void {
    this.busy.delete(connection);
    if (reusable && this.idle.length < MAX_IDLE_CONNECTIONS) this.idle.push(connection);
    else connection.destroy().catch(() => undefined);
  }

  public dispose(): void {
    [...this.idle, ...this.busy].forEach((connection) => {
      connection.destroy().catch(() => undefined);
    });
  }

  private open(): undici.Client {
    return new undici.Client(`http://${this.address}`, {
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: 30_000,
    });
  }
}
