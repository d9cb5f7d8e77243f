/** How an exchange on a connection ended. */
export type ExchangeEnd =
  /** A complete answer arrived. */
  | 'completed'
  /** The complete answer to a health check arrived, which servers give while they work on requests. */
  | 'checked'
  /** The connection broke, or the exchange was abandoned early or after bytes had arrived. */
  | 'failed'
  /** The exchange was abandoned after `silenceMs` or longer, and no byte had arrived. */
  | 'silent';

/** Limits of `ConnectionHealth`, in milliseconds unless stated otherwise. */
export interface IConnectionLimits {
  /** Age at which a connection is retired, less a random jitter of up to a tenth. */
  readonly maxAgeMs: number;
  /** Idle time after which a connection is retired. */
  readonly maxIdleMs: number;
  /** Time since the last completed exchange up to which a non-idempotent request may follow. */
  readonly freshnessMs: number;
  /** Duration from which an exchange abandoned without any received byte counts as silent. */
  readonly silenceMs: number;
  /** Number of later exchanges that must complete before an exchange counts as overtaken. */
  readonly overtakenBy: number;
}
