/** Source of time. Injected, so that tests and the virtual-time bench control it. */
export interface IClock {
  /** Monotonic time in milliseconds, from an arbitrary origin. May be fractional. */
  monotonicMs(): number;
  /** Wall-clock time. Only for display and for values that leave the process. */
  wallTime(): Date;
  /** Calls `callback` once after `delayMs` milliseconds, unless the timer is disposed first. */
  setTimer(delayMs: number, callback: () => void): IDisposable;
}

/** Source of randomness. Injected, so that tests and the virtual-time bench can seed it. */
export interface IRandom {
  /** Returns a number in [0, 1). */
  next(): number;
  /** Returns an integer in [0, bound). `bound` must be at least 1. */
  nextInteger(bound: number): number;
}

/** Object that holds a resource or a registration until it is disposed. */
export interface IDisposable {
  /** Releases the resource. Has no effect when called again. */
  dispose(): void;
}

/** Registers a listener for events of one type; disposing the result removes the listener. */
export type Event<T> = (listener: (event: T) => void) => IDisposable;

/** Either a value or an error. Expected errors are returned, not thrown. */
export type Result<TValue, TError> =
  { readonly ok: true; readonly value: TValue } | { readonly ok: false; readonly error: TError };
