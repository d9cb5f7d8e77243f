import * as net from 'node:net';
import * as stream from 'node:stream';

/**
 * How a cut link behaves: connections are reset, stay open without forwarding data, or forward
 * data only towards the target.
 */
export type CutKind = 'reset' | 'silent' | 'one-way';

interface ILink {
  readonly source: string;
  readonly downstream: net.Socket;
  readonly upstream: net.Socket;
}

/**
 * Relays TCP connections to one target. Links can be cut by the IP address of their source, to
 * simulate network partitions between daemons.
 */
export class TcpRelay {
  /** Delay of each chunk of data, in milliseconds. */
  public delayMs = 0;

  private readonly links = new Set<ILink>();

  private readonly cuts = new Map<string, CutKind>();

  /** Connections that a silent cut leaves without an answer, with their sources. */
  private readonly unansweredSockets = new Map<net.Socket, string>();

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
      this.unansweredSockets.forEach((_source, socket) => socket.destroy());
    });
  }

  /** Cuts the links from `source`, or from all sources if it is `*`. */
  public cut(source: string, kind: CutKind = 'reset'): void {
    this.cuts.set(source, kind);
    this.links.forEach((link) => {
      if (this.cutKindFor(link.source) === undefined) return;
      if (kind === 'reset') this.breakLink(link);
      else TcpRelay.stopForwarding(link, kind);
    });
  }

  /** Ends the cut of `source`. Closes the silenced connections of sources without a cut. */
  public heal(source: string): void {
    this.cuts.delete(source);
    this.unansweredSockets.forEach((from, socket) => {
      if (this.cutKindFor(from) === undefined) socket.destroy();
    });
    this.links.forEach((link) => {
      const isHealed = this.cutKindFor(link.source) === undefined;
      if (isHealed && link.upstream.isPaused()) this.breakLink(link);
    });
  }

  private static stopForwarding({ downstream, upstream }: ILink, kind: CutKind): void {
    const silenced = kind === 'silent' ? [downstream, upstream] : [upstream];
    silenced.forEach((socket) => {
      socket.unpipe();
      socket.pause();
    });
  }

  private cutKindFor(source: string): CutKind | undefined {
    return this.cuts.get(source) ?? this.cuts.get('*');
  }

  private accept(socket: net.Socket): void {
    const source = socket.remoteAddress ?? '';
    const cut = this.cutKindFor(source);
    socket.on('error', () => socket.destroy());
    if (cut === 'reset') {
      socket.destroy();
      return;
    }
    if (cut === 'silent') {
      this.unansweredSockets.set(socket, source);
      socket.once('close', () => this.unansweredSockets.delete(socket));
      return;
    }
    const link = this.relay(socket, source);
    if (cut !== undefined) TcpRelay.stopForwarding(link, cut);
  }

  private relay(downstream: net.Socket, source: string): ILink {
    const upstream = net.connect(this.targetPort, this.targetHost);
    const link = { source, downstream, upstream };
    this.links.add(link);
    [downstream, upstream].forEach((socket) => {
      socket.setNoDelay(true);
      socket.on('error', () => this.breakLink(link));
      socket.once('close', () => this.breakLink(link));
    });
    downstream.pipe(this.createDelayStream()).pipe(upstream);
    upstream.pipe(this.createDelayStream()).pipe(downstream);
    return link;
  }

  private createDelayStream(): stream.Transform {
    const delayMs = () => this.delayMs;
    return new stream.Transform({
      transform(chunk, _encoding, onDone) {
        if (delayMs() === 0) onDone(null, chunk);
        else setTimeout(() => onDone(null, chunk), delayMs());
      },
    });
  }

  private breakLink(link: ILink): void {
    if (!this.links.delete(link)) return;
    link.downstream.destroy();
    link.upstream.destroy();
  }
}
