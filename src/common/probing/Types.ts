/** Permit to send one probe. The holder calls exactly one of the two methods, once. */
export interface IProbePermit {
  readonly service: string;
  /** Reports that a reply arrived, whatever its content. */
  replied(): void;
  /** Reports that the probe timed out or failed, and that its connection is closed. */
  timedOut(): void;
}

/** Reason why a daemon sends no probes at all. */
export type ProbeStopReason = 'no-table' | 'after-start' | 'after-pause' | 'too-many-members';

/** Probe budget usage of one service. */
export interface IProbeUsage {
  readonly service: string;
  /** Budget of the whole fleet, in probes per second. */
  readonly fleetBudget: number;
  /** Permits of this daemon. */
  readonly share: number;
  /** Permits whose probe is in flight. */
  readonly inFlight: number;
  /** Permits in cooldown after their last probe. */
  readonly waiting: number;
  /** Probes sent since the start. */
  readonly sent: number;
  readonly timedOut: number;
}

/** A server that may be probed. */
export interface IProbeCandidate {
  readonly service: string;
  readonly address: string;
  /** Monotonic time of the last load report, or undefined if there was none. */
  readonly reportedAtMs: number | undefined;
}

/** A probe to send immediately. */
export interface IProbe {
  readonly service: string;
  readonly address: string;
  /** Reports that the reply arrived. */
  replied(): void;
  /** Reports that the probe timed out or failed, and that its connection is closed. */
  timedOut(): void;
}
