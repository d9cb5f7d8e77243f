import type * as net from 'node:net';

import * as undici from 'undici';

/** Connect timeout, in milliseconds, after which the attempt counts as not sent. */
const CONNECT_TIMEOUT_MS = 1_000;

/**
 * Time before the idle timeout that a server states at which an idle connection is closed, in
 * milliseconds. Longer than a round trip, since a request must not cross the server's close.
 */
const IDLE_MARGIN_MS = 500;

/** Idle timeout of undici, in milliseconds. The pool itself retires idle connections earlier. */
const UNDICI_IDLE_MS = 600_000;

/**
 * Bytes beside the body that a server may send in one exchange, in bytes: the head, and what delimits
 * the body. Without a limit a server could send them until the deadline of the call.
 */
const MAX_FRAMING_BYTES = 128 * 1024;

/** Size, in bytes, of the first part of a body, whose chunks may be of any size. */
const ANY_CHUNK_BODY_BYTES = 256 * 1024;

/** Bytes received for each byte of that part: a chunk of one byte has five more. */
const BYTES_PER_BODY_BYTE = 8;

/**
 * Bytes received for each byte of the rest of a body. Chunks of a few bytes cost more processor time
 * than the requests of all other callers, so that the rest must come in chunks of 24 bytes or more.
 */
const BYTES_PER_LATER_BODY_BYTE = 1.25;

/** One TCP connection to a backend server. It is never reconnected. */
export class Connection {
  /** Number of exchanges started on this connection. */
  public exchangeCount = 0;

  private readonly client: undici.Client;

  private socket: net.Socket | undefined;

  private opened = false;

  private hasGracefulEnd = false;

  /** Number of bytes of the body in the current exchange. */
  private bodyBytes = 0;

  /** Value of `bytesRead` above which the connection is closed. */
  private byteLimit = Number.POSITIVE_INFINITY;

  public constructor(
    address: string,
    /** Identifies this connection in `ConnectionHealth`. */
    public readonly id: number,
    onClosed: (connection: Connection) => void,
  ) {
    const connector = undici.buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    this.client = new undici.Client(`http://${address}`, {
      pipelining: 1,
      keepAliveTimeout: UNDICI_IDLE_MS,
      keepAliveMaxTimeout: UNDICI_IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      connect: (options, callback) => this.connect(connector, options, callback),
    });
    this.client.on('disconnect', () => onClosed(this));
    this.client.on('connectionError', () => onClosed(this));
  }

  /** Number of bytes received. */
  public get bytesRead(): number {
    return this.socket?.bytesRead ?? 0;
  }

  /** Whether bytes of a request are still buffered for sending. */
  public get isSending(): boolean {
    return (this.socket?.writableLength ?? 0) > 0;
  }

  /** Whether the server closed the connection with a FIN after all its data, not with a reset. */
  public get endedGracefully(): boolean {
    return this.hasGracefulEnd;
  }

  public dispatch(
    options: undici.Dispatcher.DispatchOptions,
    handler: undici.Dispatcher.DispatchHandler,
  ): void {
    this.exchangeCount += 1;
    this.bodyBytes = 0;
    this.byteLimit = this.bytesRead + MAX_FRAMING_BYTES;
    this.client.dispatch(options, handler);
  }

  /** Raises the limit on received bytes for a part of a body that has arrived. */
  public recordBody(bytes: number): void {
    this.bodyBytes += bytes;
    const isFirstPart = this.bodyBytes <= ANY_CHUNK_BODY_BYTES;
    this.byteLimit += bytes * (isFirstPart ? BYTES_PER_BODY_BYTE : BYTES_PER_LATER_BODY_BYTE);
  }

  /** Closes the connection immediately. */
  public close(): void {
    this.client.destroy().catch(() => undefined);
  }

  private connect(
    connector: undici.buildConnector.connector,
    options: undici.buildConnector.Options,
    callback: undici.buildConnector.Callback,
  ): void {
    // undici reconnects after the socket closed. It would then send a queued request on a connection
    // other than the one whose age and history were checked.
    if (this.opened) {
      callback(new Error('the connection was closed before the request was sent'), null);
      return;
    }
    this.opened = true;
    connector(options, (...result) => {
      const [error, socket] = result;
      if (error === null) this.attachSocket(socket);
      callback(...result);
    });
  }

  private attachSocket(socket: net.Socket): void {
    this.socket = socket;
    socket.on('readable', () => {
      if (socket.bytesRead <= this.byteLimit) return;
      socket.destroy(new Error('the server sends too many bytes that belong to no body'));
    });
    // Node.js reports a reset that arrives together with data as an end. Only the remote address,
    // which a reset connection no longer has, distinguishes the two.
    socket.prependListener('end', () => {
      this.hasGracefulEnd = socket.remoteAddress !== undefined;
    });
  }
}
