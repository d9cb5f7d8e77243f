import type * as keyAuthority from '../../common/keys/KeyAuthority';
import type * as peer from '../peer/generated/peer';
import * as keyMessages from './KeyMessages';
import type * as keyTypes from './Types';

/** Passes the messages of peers about keys to the key authority of this daemon. */
export class KeyPeerHandler implements keyTypes.IKeyPeerHandler {
  public constructor(private readonly authority: keyAuthority.KeyAuthority) {}

  public claimKey(request: peer.ClaimKeyRequest): peer.ClaimKeyReply {
    const { key, attempt, fingerprint } = request;
    return keyMessages.toClaimReply(this.authority.claim(key, attempt, fingerprint));
  }

  public completeKey(request: peer.CompleteKeyRequest): peer.CompleteKeyReply {
    const outcome = keyMessages.fromOutcomeFields(request);
    if (outcome === undefined) return { recorded: false };
    return { recorded: this.authority.complete(request.key, request.attempt, outcome) };
  }

  public handOverKeys(request: peer.HandOverKeysRequest): peer.HandOverKeysReply {
    const part = keyMessages.fromHandOverRequest(request);
    return { accepted: part !== undefined && this.authority.takeOver(part) };
  }
}
