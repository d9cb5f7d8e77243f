import type * as net from 'node:net';

/** Size of the pieces, in bytes, in which a read is passed on. A head may take several. */
const MAX_PIECE_BYTES = 4 * 1024;

/** Pieces that one connection passes on before the others get their turn. */
const PIECES_PER_TURN = 8;

/** Ends of the last line of a head and the empty line after it, with and without a carriage return. */
const EMPTY_LINES = ['\n\r\n', '\n\n'];

type ReadListener = (bytes: Buffer) => void;

/** What decides whether further requests of a connection are read. */
export interface IFeedGate {
  /** Whether there is room for a further request. */
  readonly isOpen: boolean;
  /** Whether the body of a request that has begun is being read. */
  readonly isReadingBody: boolean;
}

/** Returns the size of the head at the start of `bytes`, or undefined if they contain no empty line. */
function findHeadEnd(bytes: Buffer): number | undefined {
  let end: number | undefined;
  EMPTY_LINES.forEach((line) => {
    const position = bytes.indexOf(line, 0, 'latin1');
    if (position >= 0) end = Math.min(end ?? Infinity, position + line.length);
  });
  return end;
}

interface IPiece {
  readonly size: number;
  /** Whether it ends with an empty line. */
  readonly endsHead: boolean;
}

/**
 * Passes the bytes of a connection on to the parser of Node.js, which parses all requests of a read,
 * up to 64 KB, at once: pausing the socket meanwhile has no effect. A feed passes on one request at a
 * time, holds the rest while there is no room for it, and drops it when the caller has left. What
 * belongs to a request that has been read in part is passed on at once, so that its time for the head
 * does not run while it is held.
 */
export class ConnectionFeed {
  /** Parser of Node.js. */
  private readonly parse: ReadListener;

  private readonly held: Buffer[] = [];

  /** Bytes of the first read held that have been passed on. Its memory is free only with the last. */
  private passedBytes = 0;

  private bytesHeld = 0;

  /** Bytes of a body of declared size that are still to come. */
  private bodyBytes = 0;

  /** Whether the last piece passed on, apart from bodies of declared size, ended with an empty line. */
  private hasEndedHead = true;

  private hasPaused = false;

  private isPassing = false;

  private isDiscarding = false;

  private turn: NodeJS.Immediate | undefined;

  /**
   * @param socket Connection that an HTTP server of Node.js reads.
   * @param onHeldChanged Called when the number of bytes held has changed.
   */
  public constructor(
    private readonly socket: net.Socket,
    private readonly gate: IFeedGate,
    private readonly onHeldChanged: () => void,
  ) {
    const [parse] = socket.listeners('data') as ReadListener[];
    if (parse === undefined) throw new Error('the connection is not read by an HTTP server');
    this.parse = parse;
    socket.off('data', parse);
    // Node.js no longer passes reads to the parser by itself once a listener is added.
    socket.on('data', (bytes: Buffer) => this.receive(bytes));
    socket.on('drain', () => this.wake());
    socket.on('resume', () => this.wake());
    socket.once('end', () => this.discard());
    socket.once('close', () => this.discard());
  }

  /** Number of bytes that have been read and not passed on. */
  public get heldBytes(): number {
    return this.bytesHeld + this.socket.readableLength;
  }

  /** States the size of the body that follows the head which was passed on last. */
  public expectBody(bytes: number): void {
    if (this.hasEndedHead) this.bodyBytes = bytes;
  }

  /** Passes on what is held, as far as there is room. */
  public wake(): void {
    const { next } = this;
    if (next === undefined || this.turn !== undefined || this.isPassing) return;
    if (!this.mayPass(this.firstPiece(next))) return;
    // Before the parser runs, since Node.js pauses the socket itself if a body is read slowly.
    this.unpause();
    this.passOn();
  }

  /** Drops what is held, and everything that arrives from now on. */
  public discard(): void {
    this.isDiscarding = true;
    clearImmediate(this.turn);
    this.held.length = 0;
    this.bytesHeld = 0;
    this.passedBytes = 0;
    this.unpause();
    this.onHeldChanged();
  }

  private receive(bytes: Buffer): void {
    if (this.isDiscarding) return;
    const piece = this.firstPiece(bytes);
    // Most reads are one piece, which need not be held.
    if (this.held.length === 0 && piece.size === bytes.length && this.mayPass(piece)) {
      this.pass(bytes, piece);
      return;
    }
    this.held.push(bytes);
    this.bytesHeld += bytes.length;
    if (this.turn === undefined) this.passOn();
    else {
      this.pause();
      this.onHeldChanged();
    }
  }

  private passOn(): void {
    this.isPassing = true;
    for (let count = 0; this.next !== undefined; count += 1) {
      const { next } = this;
      const piece = this.firstPiece(next);
      if (!this.mayPass(piece)) break;
      if (count === PIECES_PER_TURN) {
        this.awaitTurn();
        break;
      }
      this.take(piece.size);
      this.pass(next.subarray(0, piece.size), piece);
    }
    this.isPassing = false;
    if (this.held.length > 0) this.pause();
    this.onHeldChanged();
  }

  /** What is held of the first read. */
  private get next(): Buffer | undefined {
    return this.held[0]?.subarray(this.passedBytes);
  }

  private take(size: number): void {
    const bytes = (this.held[0] as Buffer).length;
    this.passedBytes += size;
    if (this.passedBytes < bytes) return;
    this.held.shift();
    this.bytesHeld -= bytes;
    this.passedBytes = 0;
  }

  private awaitTurn(): void {
    this.turn = setImmediate(() => {
      this.turn = undefined;
      this.wake();
    });
  }

  private pass(bytes: Buffer, piece: IPiece): void {
    if (this.bodyBytes > 0) this.bodyBytes -= piece.size;
    else this.hasEndedHead = piece.endsHead;
    this.parse.call(this.socket, bytes);
  }

  private firstPiece(bytes: Buffer): IPiece {
    if (this.bodyBytes > 0) {
      return { size: Math.min(this.bodyBytes, bytes.length), endsHead: false };
    }
    const start = bytes.length > MAX_PIECE_BYTES ? bytes.subarray(0, MAX_PIECE_BYTES) : bytes;
    const headEnd = findHeadEnd(start);
    return { size: headEnd ?? start.length, endsHead: headEnd !== undefined };
  }

  private mayPass(piece: IPiece): boolean {
    const { socket } = this;
    // Set by Node.js while its parser must not be called, since responses wait to be read.
    const { _paused: isParserPaused } = socket as net.Socket & { readonly _paused?: boolean };
    if (socket.destroyed || isParserPaused === true) return false;
    // The rest of a request whose time runs.
    if (this.bodyBytes > 0 || !this.hasEndedHead) return true;
    // The start of a head is no request yet.
    const mustWait = piece.endsHead && socket.writableNeedDrain;
    return (this.gate.isOpen && !mustWait) || this.gate.isReadingBody;
  }

  private unpause(): void {
    if (!this.hasPaused) return;
    this.hasPaused = false;
    this.socket.resume();
  }

  private pause(): void {
    if (this.socket.isPaused()) return;
    this.hasPaused = true;
    this.socket.pause();
  }
}
