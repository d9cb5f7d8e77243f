import * as net from 'node:net';

/** How a cut link behaves: connections break, or stay open and carry nothing. */
export type CutKind = 'reset' | 'silent';

interface ILink {
  readonly source: string;
  readonly inner: net.Socket;
  readonly outer: net.Socket;
}

/**
 * Relays TCP connections to one target. Links can be cut by the IP address of their source, so
 * that a partition separates chosen daemons.
 */
export class TcpRelay {
  private readonly links = new Set<ILink>();

  private readonly cuts = new Map<string, CutKind>();

  private readonly held = new Set<net.Socket>();

  private readonly server = net.createServer((socket) => this.accept(socket));

  public constructor(
    private readonly targetHost: string,
    private readonly targetPort: number,
  ) {}

  public listen(port: number, host: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () =>
        resolve((this.server.address() as net.AddressInfo).port),
      );
    });
  }

  public close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.links.forEach((link) => this.breakLink(link));
      this.held.forEach((socket) => socket.destroy());
    });
  }

  /** Cuts the links from `source`, or from everywhere if it is `*`. */
  public cut(source: string, kind: CutKind = 'reset'): void {
    this.cuts.set(source, kind);
    this.links.forEach((link) => {
      if (this.cutOf(link.source) === undefined) return;
      if (kind === 'reset') this.breakLink(link);
      else TcpRelay.silence(link);
    });
  }

  /** Lets new connections from `source` pass again. Silent ones are broken. */
  public heal(source: string): void {
    this.cuts.delete(source);
    this.held.forEach((socket) => socket.destroy());
    this.links.forEach((link) => {
      if (link.inner.isPaused()) this.breakLink(link);
    });
  }

  private static silence(link: ILink): void {
    link.inner.unpipe();
    link.outer.unpipe();
    link.inner.pause();
    link.outer.pause();
  }

  private cutOf(source: string): CutKind | undefined {
    return this.cuts.get(source) ?? this.cuts.get('*');
  }

  private accept(socket: net.Socket): void {
    const source = socket.remoteAddress ?? '';
    const cut = this.cutOf(source);
    socket.on('error', () => socket.destroy());
    if (cut === 'reset') {
      socket.destroy();
      return;
    }
    if (cut === 'silent') {
      this.held.add(socket);
      socket.once('close', () => this.held.delete(socket));
      return;
    }
    this.relay(socket, source);
  }

  private relay(inner: net.Socket, source: string): void {
    const outer = net.connect(this.targetPort, this.targetHost);
    const link = { source, inner, outer };
    this.links.add(link);
    [inner, outer].forEach((socket) => {
      socket.setNoDelay(true);
      socket.on('error', () => this.breakLink(link));
      socket.once('close', () => this.breakLink(link));
    });
    inner.pipe(outer);
    outer.pipe(inner);
  }

  private breakLink(link: ILink): void {
    if (!this.links.delete(link)) return;
    link.inner.destroy();
    link.outer.destroy();
  }
}
