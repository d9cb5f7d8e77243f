import * as stream from 'node:stream';

import type * as types from '../../common/Types';
import * as names from './Names';

/** Bytes of log lines that may wait to be written. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Time for which lines are collected, in milliseconds, so that many cost one write. */
const FLUSH_MS = 50;

/** Writes bytes, and calls back when they were taken. */
export type WriteBytes = (bytes: Buffer, onWritten: (error: Error | null) => void) => void;

/**
 * Passes log lines on without ever blocking. Lines beyond a limit are dropped while nobody reads,
 * and a line tells how many they were.
 */
export class BoundedLogStream extends stream.Writable {
  private buffered: string[] = [];

  private bufferedBytes = 0;

  private dropped = 0;

  private isWriting = false;

  private timer: types.IDisposable | undefined;

  public constructor(
    private readonly writeBytes: WriteBytes,
    private readonly clock: types.IClock,
  ) {
    super({ decodeStrings: false });
  }

  /** Lines that were dropped and not yet reported. */
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

  /** Writes what waits, unless a write is in progress. */
  public flush(): void {
    this.timer?.dispose();
    this.timer = undefined;
    if (this.isWriting || this.buffered.length === 0) return;
    const lines = this.buffered;
    if (this.dropped > 0) {
      lines.push(`${JSON.stringify({ event: names.LOG_DROPPED, lines: this.dropped })}\n`);
      this.dropped = 0;
    }
    this.buffered = [];
    this.bufferedBytes = 0;
    this.isWriting = true;
    this.writeBytes(Buffer.from(lines.join('')), () => {
      // An error means that nobody reads any more, and there is no other place to report it.
      this.isWriting = false;
      this.flush();
    });
  }
}
