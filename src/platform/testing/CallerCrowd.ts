import * as nodeEvents from 'node:events';
import * as net from 'node:net';

import * as platformRecords from './PlatformRecords';

/** What a caller of a crowd does. None of them reads an answer. */
export type CrowdKind =
  /** Sends many tiny requests behind one that takes a while. */
  | 'ahead'
  /** The same, without the headers that a request needs. */
  | 'bare'
  /** Asks for many large answers. */
  | 'unread'
  /** Sends a part of a head, or nothing. */
  | 'silent';

/** Bytes that a caller sends ahead. */
const AHEAD_BYTES = 64 * 1024;

/** Large answers that a caller asks for. */
const UNREAD_ANSWERS = 100;

const CONNECT_BATCH = 100;

function get(path: string): string {
  return `GET ${path} HTTP/1.1\r\nhost: ${platformRecords.HOST}\r\n\r\n`;
}

function fill(request: string): string {
  return request.repeat(Math.floor(AHEAD_BYTES / request.length));
}

const SENT: Readonly<Record<CrowdKind, string>> = {
  ahead: get('/slow/1') + fill(get('/x/1')),
  bare: fill('GET /x/1 HTTP/1.1\r\n\r\n'),
  unread: get('/large/1').repeat(UNREAD_ANSWERS),
  silent: 'GET /x',
};

async function connect(port: number): Promise<net.Socket> {
  const socket = net.connect({ port, host: '127.0.0.1' });
  // A daemon may close the connection of such a caller at any time.
  socket.on('error', () => undefined);
  await Promise.race([nodeEvents.once(socket, 'connect'), nodeEvents.once(socket, 'close')]).catch(
    () => undefined,
  );
  return socket.pause();
}

/** Callers that a daemon does not control, connected at the same time. */
export class CallerCrowd {
  private readonly sockets: net.Socket[] = [];

  public constructor(private readonly port: number) {}

  /** Connects further callers. Each third of the silent ones leaves at once. */
  public async add(kind: CrowdKind, count: number): Promise<void> {
    for (let added = 0; added < count; added += CONNECT_BATCH) {
      const batch = Math.min(CONNECT_BATCH, count - added);
      const sockets = await Promise.all(Array.from({ length: batch }, () => connect(this.port)));
      sockets.forEach((socket, index) => {
        socket.write(SENT[kind], 'latin1');
        if (kind === 'silent' && index % 3 === 0) socket.destroy();
      });
      this.sockets.push(...sockets);
    }
  }

  /** All callers leave. */
  public leave(): void {
    this.sockets.splice(0).forEach((socket) => socket.destroy());
  }
}
