import type * as callTypes from '../call/Types';

/** The contents of a request key, which names the daemon that issued it. */
export interface IRequestKey {
  /** Peer address of the issuing daemon. */
  readonly issuer: string;
  /** Random number that the issuing process drew at its start. */
  readonly incarnation: number;
  readonly sequence: number;
  /** Issue time on the issuer's monotonic clock, in milliseconds since its start. */
  readonly issuedAtMs: number;
  /** Authentication code over the other members, with the issuer's secret. */
  readonly code: string;
}

/** The recorded end of the single attempt that a key allows. */
export type KeyOutcome =
  | { readonly kind: 'answered'; readonly answer: callTypes.IAnswer | undefined }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'unknown' };

/** Reply to a daemon that wants to run the request of a key. */
export type ClaimVerdict =
  | { readonly kind: 'granted' }
  | { readonly kind: 'in-progress' }
  | { readonly kind: 'completed'; readonly outcome: KeyOutcome }
  | { readonly kind: 'different-content' }
  | { readonly kind: 'invalid-key' }
  | { readonly kind: 'expired-key' }
  | { readonly kind: 'not-issuer' };
