import type * as types from '../Types';
import * as connectionAccount from './ConnectionAccount';
import * as reservations from './Reservation';
import type * as memoryTypes from './Types';

/** Share of the limit on connections from which they read ahead no more. */
const SHORT_SHARE = 0.75;

/** Limits that every body fits. */
export const UNLIMITED: memoryTypes.IByteLimits = {
  totalBytes: Number.POSITIVE_INFINITY,
  answerReserveBytes: 0,
  answerBytes: Number.POSITIVE_INFINITY,
  connectionBytes: Number.POSITIVE_INFINITY,
};

/**
 * Bytes of bodies and connections that a daemon holds at the same time. Bodies of requests leave a reserve to answers:
 * a request that does not fit is refused as not run, but an answer belongs to work that was done.
 * If the budget is exhausted, the largest answer that is still being received ends, since an answer
 * without end becomes the largest one, and the small answers beside it are kept. If connections take
 * too much, or what is written to their callers does, the one that holds most is closed.
 */
export class ByteBudget {
  private readonly answers = new Set<reservations.Reservation>();

  private readonly connections = new Set<connectionAccount.ConnectionAccount>();

  private connectionSum = 0;

  private readonly heldBytes: Record<memoryTypes.BodyKind, number> = {
    request: 0,
    answer: 0,
    reply: 0,
  };

  public constructor(private readonly limits: memoryTypes.IByteLimits) {}

  /** Number of bytes held by bodies. */
  public get totalBytes(): number {
    const { request, answer, reply } = this.heldBytes;
    return request + answer + reply;
  }

  /** Number of bytes that connections hold besides large bodies. */
  public get connectionBytes(): number {
    return this.connectionSum;
  }

  /** Whether connections should read nothing that can wait. */
  public get isShort(): boolean {
    return this.connectionSum > SHORT_SHARE * this.limits.connectionBytes;
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

  /** Returns an account of no bytes yet for a connection. */
  public holdConnection(holder: memoryTypes.IConnectionHolder): memoryTypes.IConnectionAccount {
    const account: connectionAccount.ConnectionAccount = new connectionAccount.ConnectionAccount(
      holder,
      (bytes) => {
        this.connectionSum += bytes;
        this.evictConnections();
      },
      (bytes) => {
        this.connectionSum -= bytes;
        this.connections.delete(account);
      },
    );
    this.connections.add(account);
    return account;
  }

  private evictConnections(): void {
    const { connectionBytes, totalBytes } = this.limits;
    while (
      this.connections.size > 0 &&
      (this.connectionSum > connectionBytes ||
        this.connectionSum + this.heldBytes.reply > totalBytes)
    ) {
      const accounts = [...this.connections];
      accounts.reduce((most, one) => (one.holder.weight > most.holder.weight ? one : most)).evict();
    }
  }

  private growRequest(bytes: number): boolean {
    const { totalBytes, answerReserveBytes } = this.limits;
    if (bytes > 0 && this.usedBytes + bytes > totalBytes - answerReserveBytes) return false;
    this.heldBytes.request += bytes;
    return true;
  }

  private growAnswer(reservation: reservations.Reservation, bytes: number): boolean {
    const { totalBytes, answerBytes } = this.limits;
    const fits = () =>
      this.usedBytes + bytes <= totalBytes && this.heldBytes.answer + bytes <= answerBytes;
    while (bytes > 0 && !fits()) {
      const largest = this.largestAnswer();
      if (largest === undefined || largest === reservation) return false;
      largest.evict();
    }
    this.heldBytes.answer += bytes;
    return true;
  }

  private get usedBytes(): number {
    return this.totalBytes + this.connectionSum;
  }

  private largestAnswer(): reservations.Reservation | undefined {
    return [...this.answers].reduce<reservations.Reservation | undefined>(
      (largest, one) => (one.bytes > (largest?.bytes ?? 0) ? one : largest),
      undefined,
    );
  }
}
