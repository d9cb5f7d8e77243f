/** How an exchange on a connection ended. */
export type ExchangeEnd =
  /** A complete answer arrived. */
  | 'completed'
  /** The connection broke, or the exchange was given up while bytes were arriving. */
  | 'failed'
  /** The exchange was given up, and no byte had arrived for the silence limit or longer. */
  | 'silent';

/** Limits of `ConnectionTrust`, in milliseconds. */
export interface IConnectionLimits {
  /** Age at which a connection is retired. Up to a tenth is taken off at random. */
  readonly maxAgeMs: number;
  /** Time without an exchange after which a connection is retired. */
  readonly maxIdleMs: number;
  /** Time since the last completed exchange within which a non-idempotent request may follow. */
  readonly freshnessMs: number;
  /** Time without a byte from which an exchange that is given up counts as silent. */
  readonly silenceMs: number;
  /** Later exchanges with the same server that must complete before an exchange is overtaken. */
  readonly overtakenBy: number;
}
