import * as stream from 'node:stream';

import type * as types from '../../common/Types';
import * as names from './Names';

/** Limit on buffered log lines, in bytes. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Time for which lines are collected into one write, in milliseconds. */
const FLUSH_MS = 50;

/** Writes bytes, or the first of them, and calls back with how many were written. */
export type WriteBytes = (
  bytes: Buffer,
  onWritten: (error: Error | null, count: number) => void,
) => void;

/** Writes bytes, or the first of them, and returns how many. Throws if none can be written. */
export type WriteBytesNow = (bytes: Buffer) => number;

/**
 * Log stream that never blocks. Lines wait while the destination does not accept writes. Those beyond
 * the buffer limit are dropped, and a log line reports their number.
 */
export class BoundedLogStream extends stream.Writable {
  private buffered: string[] = [];

  private bufferedBytes = 0;

  /** The rest of the lines that were taken from the buffer. */
  private unwritten: Buffer = Buffer.alloc(0);

  /** Bytes of the write in progress. */
  private writing: Buffer | undefined;

  private dropped = 0;

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
    const waitingBytes = this.bufferedBytes + this.unwritten.length + (this.writing?.length ?? 0);
    if (waitingBytes + line.length > MAX_BUFFERED_BYTES) this.dropped += 1;
    else {
      this.buffered.push(line);
      this.bufferedBytes += line.length;
    }
    this.timer ??= this.clock.setTimer(FLUSH_MS, () => this.flush());
    callback();
  }

  /** Writes the lines that wait, unless a write is in progress. */
  public flush(): void {
    this.disposeTimer();
    if (this.writing !== undefined || !this.takeLines()) return;
    const bytes = this.unwritten;
    this.writing = bytes;
    this.unwritten = Buffer.alloc(0);
    this.writeBytes(bytes, (error, count) => {
      this.writing = undefined;
      this.unwritten = Buffer.concat([bytes.subarray(count), this.unwritten]);
      // A retry without a new line would keep a process alive that has stopped.
      if (error === null) this.flush();
    });
  }

  /**
   * Writes the lines that wait before it returns, for a process that may be about to end. Those of a
   * write in progress are left to it.
   */
  public flushNow(): void {
    this.disposeTimer();
    try {
      while (this.takeLines()) {
        this.unwritten = this.unwritten.subarray(this.writeBytesNow(this.unwritten));
      }
    } catch {
      // The reader is gone or does not read, and there is no other place to report it.
    }
  }

  private disposeTimer(): void {
    this.timer?.dispose();
    this.timer = undefined;
  }

  /** Takes the lines in the buffer if all earlier ones are written. Returns whether any wait. */
  private takeLines(): boolean {
    if (this.unwritten.length === 0) this.unwritten = this.takeBuffered();
    return this.unwritten.length > 0;
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
