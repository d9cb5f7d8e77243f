/** The right to send one probe. Exactly one of the two methods is called, once. */
export interface IProbePermit {
  readonly service: string;
  /** Tells that the reply arrived, whatever it says. */
  replied(): void;
  /** Tells that the probe got no reply in time, or failed, and its connection was closed. */
  timedOut(): void;
}

/** Why a daemon sends no probes at all. */
export type ProbeStopReason = 'no-table' | 'after-start' | 'after-pause' | 'too-many-members';

/** The probes of one service. */
export interface IProbeUsage {
  readonly service: string;
  /** Budget of the whole fleet, in probes per second. */
  readonly fleetBudget: number;
  /** Permits of this daemon. */
  readonly share: number;
  /** Permits whose probe is under way. */
  readonly inFlight: number;
  /** Permits that wait until their next probe is far enough from the last. */
  readonly waiting: number;
  /** Probes since the start. */
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

/** A probe to be sent now. */
export interface IProbe {
  readonly service: string;
  readonly address: string;
  /** Tells that the reply arrived. */
  replied(): void;
  /** Tells that the probe got no reply in time, or failed, and its connection was closed. */
  timedOut(): void;
}
