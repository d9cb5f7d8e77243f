/** How an exchange on a connection ended. */
export type ExchangeEnd =
  /** A complete answer arrived. */
  | 'completed'
  /** The connection broke, or the exchange was abandoned early or while bytes were arriving. */
  | 'failed'
  /** The exchange was abandoned, and no byte had arrived for `silenceMs` or longer. */
  | 'silent';

/** Limits of `ConnectionHealth`, in milliseconds unless stated otherwise. */
export interface IConnectionLimits {
  /** Age at which a connection is retired, less a random jitter of up to a tenth. */
  readonly maxAgeMs: number;
  /** Idle time after which a connection is retired. */
  readonly maxIdleMs: number;
  /** Time after a completed exchange in which a non-idempotent request may follow. */
  readonly freshnessMs: number;
  /** Time without a byte after which an abandoned exchange counts as silent. */
  readonly silenceMs: number;
  /** Number of later exchanges that must complete before an exchange counts as overtaken. */
  readonly overtakenBy: number;
}
