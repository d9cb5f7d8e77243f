import type * as types from '../Types';
import * as reservations from './Reservation';
import type * as memoryTypes from './Types';

/** Limits that every body fits. */
export const UNLIMITED: memoryTypes.IByteLimits = {
  totalBytes: Number.POSITIVE_INFINITY,
  answerReserveBytes: 0,
  answerBytes: Number.POSITIVE_INFINITY,
};

/**
 * Bytes of bodies that a daemon holds at the same time. Bodies of requests leave a reserve to answers:
 * a request that does not fit is refused as not run, but an answer belongs to work that was done.
 * If the budget is exhausted, the largest answer that is still being received ends, since an answer
 * without end becomes the largest one, and the small answers beside it are kept.
 */
export class ByteBudget {
  private readonly answers = new Set<reservations.Reservation>();

  private readonly heldBytes: Record<memoryTypes.BodyKind, number> = {
    request: 0,
    answer: 0,
    reply: 0,
  };

  public constructor(private readonly limits: memoryTypes.IByteLimits) {}

  /** Number of bytes held. */
  public get totalBytes(): number {
    const { request, answer, reply } = this.heldBytes;
    return request + answer + reply;
  }

  /** Number of bytes held by bodies of a kind. */
  public bytesOf(kind: memoryTypes.BodyKind): number {
    return this.heldBytes[kind];
  }

  /** Returns a reservation of no bytes yet for the body of a request that is being read. */
  public reserveRequest(): memoryTypes.IReservation {
    return new reservations.Reservation((bytes) => this.growRequest(bytes));
  }

  /**
   * Returns a reservation of no bytes yet for an answer that is being received.
   * @param onEvicted Called if the answer has to end, as the largest one, for another that did not fit.
   * The reservation is disposed before.
   */
  public reserveAnswer(onEvicted: () => void): memoryTypes.IReservation {
    const reservation: reservations.Reservation = new reservations.Reservation(
      (bytes) => this.growAnswer(reservation, bytes),
      () => this.answers.delete(reservation),
      onEvicted,
    );
    this.answers.add(reservation);
    return reservation;
  }

  /** Counts a complete answer that is being written to its caller, until it is disposed. */
  public holdReply(bytes: number): types.IDisposable {
    const reservation = new reservations.Reservation((change) => {
      this.heldBytes.reply += change;
      return true;
    });
    reservation.grow(bytes);
    return reservation;
  }

  private growRequest(bytes: number): boolean {
    const { totalBytes, answerReserveBytes } = this.limits;
    if (bytes > 0 && this.totalBytes + bytes > totalBytes - answerReserveBytes) return false;
    this.heldBytes.request += bytes;
    return true;
  }

  private growAnswer(reservation: reservations.Reservation, bytes: number): boolean {
    const { totalBytes, answerBytes } = this.limits;
    const fits = () =>
      this.totalBytes + bytes <= totalBytes && this.heldBytes.answer + bytes <= answerBytes;
    while (bytes > 0 && !fits()) {
      const largest = this.largestAnswer();
      if (largest === undefined || largest === reservation) return false;
      largest.evict();
    }
    this.heldBytes.answer += bytes;
    return true;
  }

  private largestAnswer(): reservations.Reservation | undefined {
    return [...this.answers].reduce<reservations.Reservation | undefined>(
      (largest, one) => (one.bytes > (largest?.bytes ?? 0) ? one : largest),
      undefined,
    );
  }
}
