import * as net from 'node:net';

import type * as types from '../../common/Types';
import * as listening from '../server/listen';

/**
 * Listens for the connections of peers. They wait unread until the server that speaks the protocol
 * of peers takes them, since loading its modules takes a while.
 */
export class PeerListener implements types.IDisposable {
  private readonly server = net.createServer({ pauseOnConnect: true }, (socket) =>
    this.track(socket),
  );

  private waiting: net.Socket[] = [];

  private readonly open = new Set<net.Socket>();

  private receive: ((socket: net.Socket) => void) | undefined;

  /** Starts listening. Rejects if the address cannot be used, and may be called again after that. */
  public listen(host: string, port: number, onError: listening.ErrorListener): Promise<void> {
    return listening.listen(this.server, host, port, onError);
  }

  /** Hands over the connections that wait, and each one from now on. */
  public handOver(receive: (socket: net.Socket) => void): void {
    this.receive = receive;
    const { waiting } = this;
    this.waiting = [];
    waiting.forEach((socket) => this.accept(socket));
  }

  /**
   * Stops listening, and closes the connections that wait. Those that were handed over are left to the
   * one that has them, but do not keep the process alive.
   */
  public dispose(): void {
    this.server.close();
    // An HTTP/2 session that is closed waits for a peer, which may be silent, to close its side.
    this.open.forEach((socket) => socket.unref());
    this.waiting.forEach((socket) => socket.destroy());
    this.waiting = [];
  }

  private track(socket: net.Socket): void {
    this.open.add(socket);
    socket.once('close', () => this.open.delete(socket));
    this.accept(socket);
  }

  private accept(socket: net.Socket): void {
    if (this.receive === undefined) {
      this.waiting.push(socket);
      return;
    }
    // An HTTP/2 session takes over the reads of a socket, but does not start them.
    socket.read(0);
    this.receive(socket);
  }
}
