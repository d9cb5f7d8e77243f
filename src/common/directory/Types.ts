import type * as routingTypes from '../routing/Types';

/** What a backend server says of itself in the directory. */
export interface IRegistration {
  /** Names the server; sent along with requests. */
  readonly id: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
  /** Requests that the server runs at once. */
  readonly slots: number;
  /** A server that is draining gets no new work. */
  readonly state: 'ready' | 'draining';
  /** Start of the server process, in Unix milliseconds; 0 if it is not stated. */
  readonly startedAtMs: number;
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
  /** An item that cannot be used. `id` is set if it stands in the place of a server. */
  | {
      readonly kind: 'unusable';
      readonly revision: number;
      readonly key: string;
      readonly id: string | undefined;
      readonly problem: string;
    };

/** All items of the directory. */
export interface IDirectoryListing {
  readonly records: readonly DirectoryRecord[];
  /** Revision from which on changes have to be followed. */
  readonly revision: number;
}

/** What changed in the directory after a revision. */
export interface IDirectoryChanges {
  readonly records: readonly DirectoryRecord[];
  /** Revision to continue from. */
  readonly revision: number;
}

/** Why a read of the directory failed. */
export type DirectoryFailure =
  /** Changes after the revision asked for are no longer known; everything has to be listed again. */
  | { readonly kind: 'history-lost' }
  /** The service does not respond, or not to this daemon. */
  | { readonly kind: 'unavailable'; readonly detail: string };

/** Why an item of the directory changed nothing, for the log. */
export interface IDirectoryProblem {
  readonly kind: 'unusable-item' | 'older-configuration' | 'conflicting-configuration';
  readonly subject: string;
  readonly detail: string;
  readonly revision: number;
}
