import type * as callTypes from '../../common/call/Types';
import type * as peer from '../peer/generated/peer';

export type UnknownOutcome = Extract<callTypes.CallOutcome, { kind: 'unknown' }>;

/** Result of a call that was forwarded to a peer. */
export type ForwardResult =
  | { readonly kind: 'outcome'; readonly outcome: callTypes.CallOutcome }
  /** The peer did not run the call, and another one may. */
  | { readonly kind: 'cannot-help'; readonly detail: string }
  /** No reply came, so that the peer may have run the call. */
  | { readonly kind: 'lost'; readonly detail: string };

/** Sends forwarded calls to peers. */
export interface IForwardPeers {
  /**
   * Sends a call to a peer once.
   * @param onReply Called exactly once, unless the message is cancelled first. `not-sent`: the peer
   * has certainly not received it.
   */
  forward(
    address: string,
    request: peer.ForwardRequest,
    onReply: (reply: ForwardTransmission) => void,
  ): callTypes.IAttempt;
}

/** How the transmission of a forwarded call ended. */
export type ForwardTransmission =
  | { readonly kind: 'reply'; readonly reply: peer.ForwardReply }
  | { readonly kind: 'not-sent'; readonly detail: string }
  | { readonly kind: 'lost'; readonly detail: string };

/** Runs calls that peers forward to this daemon. */
export interface IForwardHandler {
  forward(
    request: peer.ForwardRequest,
    onReply: (reply: peer.ForwardReply) => void,
  ): callTypes.IAttempt;
}

/** Runs calls on the servers that this daemon reaches. */
export interface ILocalCalls {
  start(
    call: callTypes.ICall,
    onOutcome: (outcome: callTypes.CallOutcome) => void,
  ): callTypes.IAttempt;
}

/** Observes which calls are forwarded, and how that ends. */
export interface IForwardObserver {
  onForwarded(call: callTypes.ICall, helper: string, result: ForwardResult['kind']): void;
}
