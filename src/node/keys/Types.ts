import type * as callTypes from '../../common/call/Types';
import type * as types from '../../common/Types';
import type * as peer from '../peer/generated/peer';

type Reply<T> = Promise<types.Result<T, { readonly message: string }>>;

/** Sends messages about keys to peers. */
export interface IKeyPeers {
  claimKey(address: string, request: peer.ClaimKeyRequest): Reply<peer.ClaimKeyReply>;
  completeKey(address: string, request: peer.CompleteKeyRequest): Reply<peer.CompleteKeyReply>;
  handOverKeys(address: string, request: peer.HandOverKeysRequest): Reply<peer.HandOverKeysReply>;
}

/** Receives messages about keys from peers. */
export interface IKeyPeerHandler {
  claimKey(request: peer.ClaimKeyRequest): peer.ClaimKeyReply;
  completeKey(request: peer.CompleteKeyRequest): peer.CompleteKeyReply;
  handOverKeys(request: peer.HandOverKeysRequest): peer.HandOverKeysReply;
}

/** Looks up the issuers of keys among the members and facts of the fleet. */
export interface IIssuerRegistry {
  /** Whether the peer address belongs to a member, or to one that departed recently. */
  isKnown(address: string): boolean;
  /**
   * Peer address of the daemon that took over the keys of an issuing process, from the fact
   * `keys-moved`, whose subject is the name of that process.
   */
  successorOf(issuerName: string): string | undefined;
}

/** A request that carries a key. */
export interface IKeyedRequest {
  readonly key: string;
  readonly service: string;
  /** Hash of method, path and body. */
  readonly fingerprint: string;
  /** Monotonic time in milliseconds at which the caller stops waiting. */
  readonly deadlineMs: number;
}

/** A granted claim. Its holder may dispatch the request once, and must complete the claim. */
export interface IGrantedClaim {
  readonly key: string;
  readonly attempt: string;
}

export type NotRun = Extract<callTypes.CallOutcome, { kind: 'not-run' }>;
export type Unknown = Extract<callTypes.CallOutcome, { kind: 'unknown' }>;

/** Result of claiming the key of a request. */
export type ClaimResult =
  /** The request may be dispatched; its claim must be completed afterwards. */
  | { readonly kind: 'granted'; readonly claim: IGrantedClaim }
  /** An earlier attempt was answered, and its answer is still stored. */
  | { readonly kind: 'answered'; readonly answer: callTypes.IAnswer }
  | NotRun
  | Unknown;
