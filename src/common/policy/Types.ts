/** Load that a backend server reports about itself, in an answer or to a probe. */
export interface ILoadReport {
  /** Requests that run now. */
  readonly inFlight: number;
  /** Requests that wait for a slot. */
  readonly queued: number;
  readonly draining: boolean;
  /** Present duration of work relative to the usual one, if the server states it. */
  readonly slowdown?: number | undefined;
}

/** What a server replied when it was asked right before a dispatch. */
export type CheckReply =
  | { readonly kind: 'ready'; readonly report: ILoadReport | undefined }
  /** It refused the question because it is full. */
  | { readonly kind: 'full'; readonly report: ILoadReport | undefined }
  /** It says that it is failing or leaving. */
  | { readonly kind: 'unhealthy'; readonly report: ILoadReport | undefined }
  /** Another server has its address. */
  | { readonly kind: 'replaced' }
  /** Its address accepts no connection, or closed it. */
  | { readonly kind: 'unreachable' }
  /** No reply came in time. */
  | { readonly kind: 'silent' };

/** How an attempt at a backend server ended, as far as the choice of a server is concerned. */
export type AttemptResult = 'answered' | 'refused' | 'failed' | 'timed-out' | 'cancelled';

/** A server as the selection policy sees it. Kept up to date by the service balancer. */
export interface IServerState {
  readonly address: string;
  readonly failureDomain: string;
  readonly weight: number;
  readonly slots: number;
  /** Attempts of this daemon that are in flight. */
  readonly inFlight: number;
  /** Start of the oldest attempt in flight, in monotonic milliseconds. */
  readonly oldestStartMs: number | undefined;
  /** Moving average of the latency of answered attempts, or a longer wait in vain since. */
  readonly latencyMs: number | undefined;
  /** Lowest latency of late, close to the time on the network; undefined before an answer. */
  readonly fastestMs: number | undefined;
  /** Monotonic time at which `latencyMs` changed last. */
  readonly latencyAtMs: number;
  readonly report: ILoadReport | undefined;
  /** Monotonic time of `report` in milliseconds. */
  readonly reportedAtMs: number;
  /** Moving average of the load in the reports, running and waiting requests together. */
  readonly usualReportedLoad: number | undefined;
  /** Attempts that this daemon has started since `report`. */
  readonly startedSinceReport: number;
  /** Share of the normal load that a returning or cold server is given, in (0, 1]. */
  readonly warmth: number;
}

/** A probe that the balancer wants sent. */
export interface IProbeOrder {
  readonly service: string;
  readonly address: string;
}

/** The right to send one probe. Exactly one of its methods is called, once. */
export interface IProbePermit {
  /** The reply to the probe arrived. */
  replied(): void;
  /** No usable reply arrived in time. */
  timedOut(): void;
}

/** The daemon's share of a service's measuring budget. */
export interface IProbeBudget {
  readonly hasFree: boolean;
  /** Takes a permit, or returns undefined if none is free. */
  take(): IProbePermit | undefined;
}
