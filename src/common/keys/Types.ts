import type * as callTypes from '../call/Types';

/** Process that issues request keys. */
export interface IKeyIssuer {
  /** Peer address of the issuing daemon. */
  readonly address: string;
  /** Distinguishes the process from earlier ones at the same address. */
  readonly incarnation: number;
}

/** Decoded request key. It names the daemon that issued it. */
export interface IRequestKey {
  /** Peer address of the issuing daemon. */
  readonly issuer: string;
  /** Incarnation of the issuing process. */
  readonly incarnation: number;
  readonly sequence: number;
  /** Issue time on the issuer's clock: milliseconds since the issuing process started. */
  readonly issuedAtMs: number;
  /** Message authentication code (HMAC) over the other fields, keyed with the issuer's secret. */
  readonly code: string;
}

/** Recorded outcome of the only attempt that a key allows. */
export type KeyOutcome =
  | { readonly kind: 'answered'; readonly answer: callTypes.IAnswer | undefined }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'unknown' };

/** Reply to a daemon that claims a key in order to run its request. */
export type ClaimVerdict =
  | { readonly kind: 'granted' }
  | { readonly kind: 'in-progress' }
  | { readonly kind: 'completed'; readonly outcome: KeyOutcome }
  | { readonly kind: 'different-content' }
  | { readonly kind: 'invalid-key' }
  | { readonly kind: 'expired-key' }
  /** The limit on claims is reached. Nothing is recorded, so a later claim may be granted. */
  | { readonly kind: 'too-many-claims' }
  | { readonly kind: 'not-issuer' };

/** Reason for which no keys were issued. */
export type IssueRefusal =
  | { readonly kind: 'closed' }
  | { readonly kind: 'too-many-claims' }
  | { readonly kind: 'invalid-count'; readonly found: number };

/** Claim on a key, with its outcome once the attempt has completed. */
export interface IKeyRecord {
  readonly sequence: number;
  readonly issuedAtMs: number;
  /** Identifier of the attempt that holds the claim. */
  readonly attempt: string;
  readonly fingerprint: string;
  /** Undefined while the attempt is in progress. */
  readonly outcome: KeyOutcome | undefined;
}

/** Complete state of the authority over the keys of one issuer. */
export interface IKeyTransfer {
  readonly issuer: IKeyIssuer;
  readonly secret: Uint8Array;
  /** Time on the issuer's clock at which the sender stopped granting claims. */
  readonly issuerClockMs: number;
  readonly nextSequence: number;
  readonly records: readonly IKeyRecord[];
}

/** One message of a hand-over. The parts of an issuer are numbered from 0 and sent in order. */
export interface IKeyTransferPart extends IKeyTransfer {
  readonly part: number;
  readonly last: boolean;
  /** Incarnation of the chosen successor. No other process may take over. */
  readonly successorIncarnation: number;
}

/** Lifetime of request keys, and limits on the memory that they use. */
export interface IKeyLimits {
  readonly lifetimeMs: number;
  readonly maxClaims: number;
  readonly maxCachedAnswerBytes: number;
  /** Larger answers are not stored. */
  readonly maxStoredAnswerBytes: number;
}
