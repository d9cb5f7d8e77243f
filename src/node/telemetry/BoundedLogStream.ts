import * as stream from 'node:stream';

import type * as types from '../../common/Types';
import * as names from './Names';

/** Limit on buffered log lines, in bytes. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Time for which lines are collected into one write, in milliseconds. */
const FLUSH_MS = 50;

/** Writes bytes, and calls back once they have been written. */
export type WriteBytes = (bytes: Buffer, onWritten: (error: Error | null) => void) => void;

/** Writes bytes before it returns. Throws if they cannot be written. */
export type WriteBytesNow = (bytes: Buffer) => void;

/**
 * Log stream that never blocks. Lines beyond the buffer limit are dropped while the destination
 * does not accept writes, and a log line reports their number.
 */
export class BoundedLogStream extends stream.Writable {
  private buffered: string[] = [];

  private bufferedBytes = 0;

  private dropped = 0;

  private isWriting = false;

  private timer: types.IDisposable | undefined;

  public constructor(
    private readonly writeBytes: WriteBytes,
    private readonly writeBytesNow: WriteBytesNow,
    private readonly clock: types.IClock,
  ) {
    super({ decodeStrings: false });
  }

  /** Number of lines that were dropped and not yet reported. */
  public get droppedLines(): number {
    return this.dropped;
  }

  // eslint-disable-next-line no-underscore-dangle
  public override _write(line: string, _encoding: string, callback: () => void): void {
    if (this.bufferedBytes + line.length > MAX_BUFFERED_BYTES) this.dropped += 1;
    else {
      this.buffered.push(line);
      this.bufferedBytes += line.length;
      this.timer ??= this.clock.setTimer(FLUSH_MS, () => this.flush());
    }
    callback();
  }

  /** Writes the buffered lines, unless a write is in progress. */
  public flush(): void {
    this.timer?.dispose();
    this.timer = undefined;
    if (this.isWriting || this.buffered.length === 0) return;
    const bytes = this.takeBuffered();
    this.isWriting = true;
    this.writeBytes(bytes, () => {
      // An error means that the reader is gone, and there is no other place to report it.
      this.isWriting = false;
      this.flush();
    });
  }

  /** Writes the buffered lines before it returns, for a process that is about to end. */
  public flushNow(): void {
    this.timer?.dispose();
    this.timer = undefined;
    if (this.buffered.length === 0) return;
    try {
      this.writeBytesNow(this.takeBuffered());
    } catch {
      // The reader is gone or does not read, and there is no other place to report it.
    }
  }

  private takeBuffered(): Buffer {
    const lines = this.buffered;
    if (this.dropped > 0) {
      lines.push(`${JSON.stringify({ event: names.LOG_DROPPED, lines: this.dropped })}\n`);
      this.dropped = 0;
    }
    this.buffered = [];
    this.bufferedBytes = 0;
    return Buffer.from(lines.join(''));
  }
}
