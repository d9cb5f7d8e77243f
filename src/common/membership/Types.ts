/** A daemon as its peers see it. */
export interface IMember {
  /** Peer address: IP address and port. */
  readonly address: string;
  readonly incarnation: number;
  /** Grows while the process runs. */
  readonly heartbeat: number;
  readonly failureDomain: string;
  readonly leaving: boolean;
  readonly tableVersion: number;
}

/** Kind of an observation that daemons share because it stays true for a while. */
export type FactKind =
  'draining' | 'slow' | 'refusing' | 'silent' | 'suspect-request' | 'keys-moved';

/** A shared observation. The pair of kind and subject identifies what it speaks of. */
export interface IFact {
  readonly kind: FactKind;
  /** Backend server address, request fingerprint, or issuing daemon, by kind. */
  readonly subject: string;
  /** Daemon that made the observation. */
  readonly origin: string;
  /** Grows with each observation of one origin. */
  readonly sequence: number;
  /** Age when received, in milliseconds, including the time at earlier daemons. */
  readonly ageMs: number;
  readonly lifetimeMs: number;
  /** Servers lost with a suspect request, or the successor of an issuing daemon. */
  readonly details: readonly string[];
}

/** A VM on the platform's list. */
export interface IListedVm {
  /** IP address and port. */
  readonly address: string;
  readonly role: 'daemon' | 'backend-server';
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving';
}

/** The platform's list of VMs. It lags behind the truth. */
export interface IVmList {
  readonly revision: number;
  readonly vms: readonly IListedVm[];
}
