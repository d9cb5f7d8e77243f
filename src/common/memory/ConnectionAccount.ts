import type * as memoryTypes from './Types';

/** Account of one connection in a budget, which keeps the sum. */
export class ConnectionAccount implements memoryTypes.IConnectionAccount {
  private heldBytes = 0;

  private isDisposed = false;

  /**
   * @param onChanged Called with the bytes that were added, or removed if negative.
   * @param onDisposed Called with the bytes that are free from then on.
   */
  public constructor(
    public readonly holder: memoryTypes.IConnectionHolder,
    private readonly onChanged: (bytes: number) => void,
    private readonly onDisposed: (bytes: number) => void,
  ) {}

  public set(bytes: number): void {
    if (this.isDisposed) return;
    const change = bytes - this.heldBytes;
    this.heldBytes = bytes;
    this.onChanged(change);
  }

  /** Closes the connection, and frees the bytes. */
  public evict(): void {
    this.holder.evict();
    this.dispose();
  }

  public dispose(): void {
    if (this.isDisposed) return;
    this.isDisposed = true;
    this.onDisposed(this.heldBytes);
  }
}
