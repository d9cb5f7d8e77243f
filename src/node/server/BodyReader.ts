import type * as http from 'node:http';

import type * as memoryTypes from '../../common/memory/Types';
import * as bodyBuffer from '../BodyBuffer';

/** Result of reading a request body. */
export type BodyResult =
  | { readonly kind: 'complete'; readonly body: Uint8Array }
  | { readonly kind: 'too-large' }
  /** The budget of the daemon has no room for the body. */
  | { readonly kind: 'no-room' };

/** Bytes that are discarded after a refusal to keep the connection open. Beyond them it is closed. */
const MAX_DISCARDED_BYTES = 4 * 1024 * 1024;

const EMPTY = Buffer.alloc(0);

/** Reads the body of one request, up to a limit, and holds it until it is stopped. */
export class BodyReader {
  private readonly body: bodyBuffer.BodyBuffer;

  /** Number of bytes received, kept or not. */
  private receivedBytes = 0;

  private ended = false;

  /**
   * @param reserve Opens the part of the daemon's budget that the body takes.
   * @param onResult Called at most once, and not after `stop`.
   */
  public constructor(
    private readonly request: http.IncomingMessage,
    private readonly maxBytes: number,
    reserve: () => memoryTypes.IReservation,
    private readonly onResult: (result: BodyResult) => void,
  ) {
    this.body = new bodyBuffer.BodyBuffer(maxBytes, reserve);
  }

  /** Whether the headers of a request declare a body. */
  public static hasBody(request: http.IncomingMessage): boolean {
    if (request.headers['transfer-encoding'] !== undefined) return true;
    return Number(request.headers['content-length'] ?? 0) > 0;
  }

  public begin(): void {
    this.request.on('data', (chunk: Buffer) => this.addChunk(chunk));
    if (!BodyReader.hasBody(this.request)) {
      this.finish({ kind: 'complete', body: EMPTY });
      return;
    }
    if (Number(this.request.headers['content-length'] ?? 0) > this.maxBytes) {
      this.finish({ kind: 'too-large' });
      return;
    }
    this.request.once('end', () => this.finish({ kind: 'complete', body: this.body.toBytes() }));
  }

  /** Stops reading, and no longer holds the body. Further data is discarded. */
  public stop(): void {
    this.ended = true;
    this.body.clear();
  }

  private addChunk(chunk: Buffer): void {
    this.receivedBytes += chunk.length;
    if (!this.ended) this.addPiece(chunk);
    else if (this.receivedBytes > this.maxBytes + MAX_DISCARDED_BYTES)
      this.request.socket.destroy();
  }

  private addPiece(piece: Buffer): void {
    if (this.receivedBytes > this.maxBytes) this.finish({ kind: 'too-large' });
    else if (!this.body.add(piece)) this.finish({ kind: 'no-room' });
  }

  private finish(result: BodyResult): void {
    if (this.ended) return;
    if (result.kind === 'complete') this.ended = true;
    else this.stop();
    this.onResult(result);
  }
}
