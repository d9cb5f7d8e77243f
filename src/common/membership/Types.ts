/** State of a daemon, as gossiped between peers. */
export interface IMember {
  /** Peer address: IP address and port. */
  readonly address: string;
  /** Identifies the process. A later process at the same address has a higher number. */
  readonly incarnation: number;
  /** Counter that the process increases while it runs. */
  readonly heartbeat: number;
  readonly failureDomain: string;
  readonly leaving: boolean;
  readonly tableVersion: number;
}

/**
 * `leaving`: announced by the member itself or by the VM list. `suspected`: its heartbeat stopped
 * advancing.
 */
export type MemberState = 'live' | 'suspected' | 'leaving';

/** Last known record and liveness of a member. */
export interface IMemberStatus {
  readonly record: IMember;
  readonly state: MemberState;
  /** Time since the heartbeat last advanced. */
  readonly silentMs: number;
}

/** Change of the membership. `changed`: the table version changed, or the member began to leave. */
export interface IMemberChange {
  readonly kind: 'joined' | 'restarted' | 'changed' | 'departed';
  readonly record: IMember;
}

/** Heartbeat without the member record, to keep messages compact. */
export interface IHeartbeat {
  /** Hash of the address and the incarnation of the member. */
  readonly id: number;
  readonly heartbeat: number;
}

/** Kind of an observation that daemons share because it stays valid for a limited time. */
export type FactKind = 'draining' | 'refusing' | 'suspect-request' | 'keys-moved';

/** Observation shared with the fleet, identified by its kind, subject and origin. */
export interface IFact {
  readonly kind: FactKind;
  /** Backend server address, request fingerprint or name of a key issuer, depending on the kind. */
  readonly subject: string;
  /** Peer address of the daemon that made the observation. */
  readonly origin: string;
  /** Increases with each observation of one origin. */
  readonly sequence: number;
  /** Age in milliseconds, including the time that it spent at earlier daemons. */
  readonly ageMs: number;
  readonly lifetimeMs: number;
  /** Servers lost while running a suspect request, or the successor of a key issuer. */
  readonly details: readonly string[];
}

/** Observation made by this daemon, before it becomes a fact. */
export type IObservation = Pick<IFact, 'kind' | 'subject' | 'lifetimeMs' | 'details'>;

/** Fact added to a store. */
export interface INewFact {
  /** Key of the fact in the store. */
  readonly key: string;
  readonly fact: IFact;
  /** Whether no other unexpired fact about the subject had all its details. It is sent urgently. */
  readonly isNews: boolean;
}

/** Entry of the platform's VM list. */
export interface IListedVm {
  /** IP address and port. */
  readonly address: string;
  readonly role: 'daemon' | 'backend-server';
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving';
}

/** VM list of the platform. It is eventually consistent and may be out of date. */
export interface IVmList {
  readonly revision: number;
  readonly vms: readonly IListedVm[];
}

/**
 * Notices that a daemon wants of a peer. `changes`: of changes of the directory. `all`: also those
 * that only confirm that nothing has changed.
 */
export type NoticeInterest = 'none' | 'changes' | 'all';
