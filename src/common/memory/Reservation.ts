import type * as memoryTypes from './Types';

/** Reservation of a budget, which keeps the sum. */
export class Reservation implements memoryTypes.IReservation {
  private heldBytes = 0;

  private isDisposed = false;

  /**
   * @param change Adds bytes to the sum of the budget, or removes them if negative. Returns whether
   * they fit.
   */
  public constructor(
    private readonly change: (bytes: number) => boolean,
    private readonly onDisposed: () => void = () => undefined,
    private readonly onEvicted: () => void = () => undefined,
  ) {}

  public get bytes(): number {
    return this.heldBytes;
  }

  public grow(bytes: number): boolean {
    if (this.isDisposed || !this.change(bytes)) return false;
    this.heldBytes += bytes;
    return true;
  }

  /** Frees the bytes, and ends the body for another one. */
  public evict(): void {
    this.dispose();
    this.onEvicted();
  }

  public dispose(): void {
    if (this.isDisposed) return;
    this.isDisposed = true;
    this.change(-this.heldBytes);
    this.heldBytes = 0;
    this.onDisposed();
  }
}
