import type * as types from './Types';

/** Delivers events to registered listeners, in the order of registration. */
export class Emitter<T> implements types.IDisposable {
  private readonly listeners = new Set<(event: T) => void>();

  /** Registers a listener. Expose this member as an `onX` property. */
  public readonly event: types.Event<T> = (listener) => {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  };

  public fire(event: T): void {
    [...this.listeners].forEach((listener) => listener(event));
  }

  public dispose(): void {
    this.listeners.clear();
  }
}
