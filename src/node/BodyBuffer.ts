import type * as memoryTypes from '../common/memory/Types';

/** Size, in bytes, up to which a piece is copied. A larger one is kept without a copy. */
const MAX_COPIED_BYTES = 32 * 1024;

/** Sizes, in bytes, of the first and of the largest block that small pieces are copied to. */
const FIRST_BLOCK_BYTES = 4 * 1024;
const MAX_BLOCK_BYTES = 64 * 1024;

/** Size, in bytes, from which a body is held in one buffer. */
const LARGE_BYTES = 1024 * 1024;

/** Size, in bytes, up to which the buffer of a large body has room for its maximum size at once. */
const MAX_OPENED_BYTES = 64 * 1024 * 1024;

/** Size, in bytes, up to which a body takes nothing of the budget, and the steps beyond it. */
const RESERVATION_STEP_BYTES = 64 * 1024;

const EMPTY = Buffer.alloc(0);

/**
 * Collects the pieces of a body. Small pieces are copied into blocks: a body in many small chunks
 * would otherwise take an object for each, and keep the read buffer alive that the chunk is a part of.
 * A large body is copied into one buffer as it arrives, since joining its pieces in the end would take
 * its memory twice.
 */
export class BodyBuffer {
  private readonly parts: Buffer[] = [];

  /** Block that is being filled, and the number of bytes in it. */
  private block = EMPTY;

  private blockSize = 0;

  private totalSize = 0;

  private reservation: memoryTypes.IReservation | undefined;

  /**
   * @param maxBytes Maximum size of the body.
   * @param reserve Opens the part of the daemon's budget that the body takes.
   */
  public constructor(
    private readonly maxBytes: number,
    private readonly reserve: () => memoryTypes.IReservation,
  ) {}

  /** Number of bytes collected. */
  public get size(): number {
    return this.totalSize;
  }

  /** Number of buffers that hold the bytes. */
  public get partCount(): number {
    return this.parts.length + (this.blockSize > 0 ? 1 : 0);
  }

  /**
   * Adds a piece. The body must not become larger than its maximum size.
   * @returns false if the budget has no room for it.
   */
  public add(piece: Buffer): boolean {
    if (!this.hasRoomFor(piece.length)) return false;
    const isFirst = this.totalSize === 0;
    this.totalSize += piece.length;
    if (this.totalSize > LARGE_BYTES) this.copyLarge(piece);
    // Most bodies arrive in one piece, which needs no copy.
    else if (isFirst || piece.length > MAX_COPIED_BYTES) {
      this.closeBlock();
      this.parts.push(piece);
    } else this.copySmall(piece);
    return true;
  }

  /** Discards all bytes, and leaves its part of the budget to other bodies. */
  public clear(): void {
    this.reservation?.dispose();
    this.reservation = undefined;
    this.parts.length = 0;
    this.block = EMPTY;
    this.blockSize = 0;
    this.totalSize = 0;
  }

  /** Returns all bytes. */
  public toBytes(): Buffer {
    this.closeBlock();
    return this.parts.length === 1 ? (this.parts[0] as Buffer) : Buffer.concat(this.parts);
  }

  private hasRoomFor(bytes: number): boolean {
    const missing =
      this.totalSize + bytes - RESERVATION_STEP_BYTES - (this.reservation?.bytes ?? 0);
    if (missing <= 0) return true;
    this.reservation ??= this.reserve();
    return this.reservation.grow(Math.max(missing, RESERVATION_STEP_BYTES));
  }

  private copySmall(piece: Buffer): void {
    if (this.blockSize + piece.length > this.block.length) {
      const wanted = Math.min(MAX_BLOCK_BYTES, Math.max(FIRST_BLOCK_BYTES, this.totalSize));
      this.openBlock(wanted);
    }
    this.copy(piece);
  }

  /** The operating system provides the memory of a buffer as it is written to. */
  private copyLarge(piece: Buffer): void {
    if (this.blockSize + piece.length > this.block.length) {
      const before = this.totalSize === piece.length ? EMPTY : this.toBytes();
      this.parts.length = 0;
      this.openBlock(this.largeBlockBytes);
      this.copy(before);
    }
    this.copy(piece);
  }

  /** The maximum size may be far above the size of any buffer, as where nothing limits bodies. */
  private get largeBlockBytes(): number {
    const openedBytes = Math.max(MAX_OPENED_BYTES, 2 * this.totalSize);
    return Math.max(this.totalSize, Math.min(this.maxBytes, openedBytes));
  }

  private openBlock(bytes: number): void {
    this.closeBlock();
    this.block = Buffer.allocUnsafeSlow(bytes);
  }

  private copy(piece: Buffer): void {
    piece.copy(this.block, this.blockSize);
    this.blockSize += piece.length;
  }

  private closeBlock(): void {
    if (this.blockSize > 0) this.parts.push(this.block.subarray(0, this.blockSize));
    this.block = EMPTY;
    this.blockSize = 0;
  }
}
