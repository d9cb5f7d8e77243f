import type * as routingTypes from '../routing/Types';

/** Registration of a backend server in the directory. */
export interface IRegistration {
  /** Identifies the server process; sent along with requests. */
  readonly id: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
  /** Number of requests that the server runs concurrently. */
  readonly slots: number;
  /** A draining server gets no new requests. */
  readonly state: 'ready' | 'draining';
  /** Start of the server process, in Unix milliseconds; 0 if unknown. */
  readonly startedAtMs: number;
  /** Counts what the process has stated about itself; undefined if it does not. */
  readonly sequence?: number | undefined;
  /** Time for which the server stays cold, in milliseconds, from its statement on. */
  readonly coldMs?: number | undefined;
}

/** One published item of the directory, with the revision of its last change. */
export type DirectoryRecord =
  | {
      readonly kind: 'configuration';
      readonly revision: number;
      readonly configuration: routingTypes.IConfiguration;
    }
  | { readonly kind: 'server'; readonly revision: number; readonly server: IRegistration }
  | { readonly kind: 'server-removed'; readonly revision: number; readonly id: string }
  /** Operators ask that the servers of a failure domain get no requests, or no longer do. */
  | {
      readonly kind: 'evacuation';
      readonly revision: number;
      readonly failureDomain: string;
      readonly isActive: boolean;
    }
  /** Item that cannot be parsed or validated. `id` is set if its key belongs to a server. */
  | {
      readonly kind: 'unusable';
      readonly revision: number;
      readonly key: string;
      readonly id: string | undefined;
      readonly problem: string;
    };

/** An evacuation among the published items. */
export type EvacuationRecord = Extract<DirectoryRecord, { readonly kind: 'evacuation' }>;

/** The configuration among the published items. */
export type ConfigurationRecord = Extract<DirectoryRecord, { readonly kind: 'configuration' }>;

/** Full snapshot of the directory. */
export interface IDirectoryListing {
  readonly records: readonly DirectoryRecord[];
  /** Revision of the snapshot; later changes have to be watched. */
  readonly revision: number;
  /**
   * Whether the directory service has been restored from an older copy since the last read of this
   * daemon: it may lack newer items, and have items that were removed.
   */
  readonly isRestored?: boolean | undefined;
}

/** Changes of the directory after a revision. */
export interface IDirectoryChanges {
  readonly records: readonly DirectoryRecord[];
  /** Revision to continue from. */
  readonly revision: number;
}

/** Why a read of the directory failed. */
export type DirectoryFailure =
  /** Changes after the requested revision are compacted; a full listing is needed. */
  | { readonly kind: 'history-lost' }
  /** The directory service does not respond to this daemon. */
  | { readonly kind: 'unavailable'; readonly detail: string };

/** Reason why an item of the directory was not applied, for the log. */
export interface IDirectoryProblem {
  readonly kind:
    'unusable-item' | 'older-configuration' | 'conflicting-configuration' | 'outdated-server';
  readonly subject: string;
  readonly detail: string;
  readonly revision: number;
}

/**
 * Whether a daemon has to read the directory service: always, only until a peer confirms its
 * directory, or not now.
 */
export type ReadRole = 'reader' | 'fallback' | 'follower';
