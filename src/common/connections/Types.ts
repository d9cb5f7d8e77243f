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

/** Why a connection was opened. */
export type OpenReason =
  /** The pool held no connection. */
  | 'none-open'
  /** All connections of the pool were carrying exchanges. */
  | 'all-busy'
  /** The idle connections may not carry a request that must not be repeated. */
  | 'not-fresh'
  /** The server had closed the idle connection that was reused. */
  | 'closed-on-reuse';

/** Why a connection was closed. */
export type CloseCause =
  /** It reached the maximum idle time, or the maximum age, of this daemon. */
  | 'idle'
  | 'age'
  /** It, or a sibling as old, was silent. */
  | 'silent'
  /** It was given up without ever having carried an answer. */
  | 'unanswered'
  /** The process was paused. */
  | 'paused'
  /** An exchange on it was abandoned. */
  | 'cancelled'
  /** It could not be opened, broke, or carried an invalid response. */
  | 'failed'
  /** Part of a request was still unsent when its response was complete, or the server half-closed. */
  | 'not-reusable'
  /** It ended with its last response, as the server had asked. */
  | 'server-asked'
  /** The server closed it, or its stated idle timeout approached, while it was idle. */
  | 'server-idle'
  /** Its place was needed for another connection. */
  | 'limit'
  /** The pool was disposed. */
  | 'disposed';

/** Receives the openings and closures of connections. */
export interface IConnectionObserver {
  onOpened(purpose: 'check' | 'request', reason: OpenReason): void;
  onClosed(cause: CloseCause): void;
}
