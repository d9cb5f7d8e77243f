/** A daemon as its peers see it. */
export interface IMember {
  /** Peer address: IP address and port. */
  readonly address: string;
  /** Higher for a later process at the same address. */
  readonly incarnation: number;
  /** Grows while the process runs. */
  readonly heartbeat: number;
  readonly failureDomain: string;
  readonly leaving: boolean;
  readonly tableVersion: number;
}

/** `leaving`: announced by the member itself or by the VM list. `suspected`: no progress. */
export type MemberState = 'live' | 'suspected' | 'leaving';

/** A member and how current its record is. */
export interface IMemberStatus {
  readonly record: IMember;
  readonly state: MemberState;
  /** Time since the heartbeat last advanced. */
  readonly silentMs: number;
}

/** `changed`: another table version, or the member began to leave. */
export interface IMemberChange {
  readonly kind: 'joined' | 'restarted' | 'changed' | 'departed';
  readonly record: IMember;
}

/** A heartbeat without the record it belongs to, for compact messages. */
export interface IHeartbeat {
  /** Stands for the address and the incarnation of the member. */
  readonly id: number;
  readonly heartbeat: number;
}

/** Kind of an observation that daemons share because it stays true for a while. */
export type FactKind = 'draining' | 'refusing' | 'suspect-request' | 'keys-moved';

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

/** What a daemon tells its peers of its own observations. */
export type IObservation = Pick<IFact, 'kind' | 'subject' | 'lifetimeMs' | 'details'>;

/** A fact that a store did not hold before. */
export interface INewFact {
  /** Key of the record in the store. */
  readonly key: string;
  readonly fact: IFact;
  /** Whether no other fact about the subject held, so that peers must learn of it at once. */
  readonly isFirstForSubject: boolean;
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
