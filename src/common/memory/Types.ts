import type * as types from '../Types';

/** What a held body is: one of a request, of an answer on its way in, or of one on its way out. */
export type BodyKind = 'request' | 'answer' | 'reply';

/** Limits on the bytes of bodies that a daemon holds at the same time. */
export interface IByteLimits {
  /** Limit on all bodies. Replies count, but are never refused. */
  readonly totalBytes: number;
  /** Part of it that bodies of requests leave to answers. */
  readonly answerReserveBytes: number;
  /**
   * Limit on answers that are being received. The memory of one that has ended is free only after the
   * next garbage collection, so that ended and held answers take a multiple of it.
   */
  readonly answerBytes: number;
  /** Limit on what connections of callers take besides large bodies. It counts in `totalBytes`. */
  readonly connectionBytes: number;
}

/** Connection of a caller as the budget sees it. */
export interface IConnectionHolder {
  /** Number of bytes that closing the connection would free. */
  readonly weight: number;
  /** Closes the connection, since it holds most and the budget is exhausted. */
  evict(): void;
}

/** Part of a budget that a connection holds, besides large bodies. */
export interface IConnectionAccount extends types.IDisposable {
  /** Sets the number of bytes held. */
  set(bytes: number): void;
}

/** Part of a budget that one body holds until it is disposed. */
export interface IReservation extends types.IDisposable {
  /** Number of bytes held. */
  readonly bytes: number;
  /** Holds more bytes. Returns false, and holds what it held before, if they do not fit. */
  grow(bytes: number): boolean;
}
