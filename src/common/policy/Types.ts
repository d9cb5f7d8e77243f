/** Load reported by a backend server, in an answer or a probe reply. */
export interface ILoadReport {
  /** Number of requests that are running. */
  readonly inFlight: number;
  /** Number of requests waiting for a slot. */
  readonly queued: number;
  readonly draining: boolean;
  /** Current service time relative to the normal one, if the server reports it. */
  readonly slowdown?: number | undefined;
}

/** Result of a check: a query for a server's health and load immediately before a dispatch. */
export type CheckReply =
  | { readonly kind: 'ready'; readonly report: ILoadReport | undefined }
  /** The server rejected the check because it is full. */
  | { readonly kind: 'full'; readonly report: ILoadReport | undefined }
  /** The server reports that it is failing or shutting down. */
  | { readonly kind: 'unhealthy'; readonly report: ILoadReport | undefined }
  /** Another server now uses the address. */
  | { readonly kind: 'replaced' }
  /** The connection was not accepted, or was closed. */
  | { readonly kind: 'unreachable' }
  /** No reply arrived before the timeout. */
  | { readonly kind: 'silent' };

/** Result of an attempt at a backend server, as used for server selection. */
export type AttemptResult = 'answered' | 'refused' | 'failed' | 'timed-out' | 'cancelled';

/** State of a server, as a selection policy sees it. Updated by the service balancer. */
export interface IServerState {
  readonly address: string;
  readonly failureDomain: string;
  readonly weight: number;
  readonly slots: number;
  /** Number of this daemon's attempts in flight. */
  readonly inFlight: number;
  /** Start of the oldest attempt in flight, in monotonic milliseconds. */
  readonly oldestStartMs: number | undefined;
  /** Moving average of answer latencies; set to the wait of an unanswered attempt if longer. */
  readonly latencyMs: number | undefined;
  /** Lowest recent latency, close to the network round trip; undefined before the first answer. */
  readonly fastestMs: number | undefined;
  /** Monotonic time of the last change of `latencyMs`. */
  readonly latencyAtMs: number;
  readonly report: ILoadReport | undefined;
  /** Monotonic time of `report` in milliseconds. */
  readonly reportedAtMs: number;
  /** Moving average of the reported load (running plus queued requests). */
  readonly usualReportedLoad: number | undefined;
  /** Number of attempts that this daemon has started since `report`. */
  readonly startedSinceReport: number;
  /** Progress of the slow start of a new or returning server, in (0, 1]; 1 when complete. */
  readonly warmth: number;
}

/** A probe to be sent. */
export interface IProbeOrder {
  readonly service: string;
  readonly address: string;
}

/** Permit to send one probe. Exactly one of its methods must be called, once. */
export interface IProbePermit {
  /** Records that the reply to the probe arrived. */
  replied(): void;
  /** Records that no usable reply arrived before the timeout. */
  timedOut(): void;
}

/** This daemon's share of a service's probe budget. */
export interface IProbeBudget {
  readonly hasFree: boolean;
  /** Takes a permit, or returns undefined if none is free. */
  take(): IProbePermit | undefined;
}
