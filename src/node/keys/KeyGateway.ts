import * as crypto from 'node:crypto';

import type * as keyAuthority from '../../common/keys/KeyAuthority';
import * as requestKeyCodec from '../../common/keys/RequestKeyCodec';
import type * as keyTypes from '../../common/keys/Types';
import type * as types from '../../common/Types';
import * as backoff from './Backoff';
import * as keyMessages from './KeyMessages';
import * as keyRefusals from './KeyRefusals';
import type * as gatewayTypes from './Types';

/** Delays of 50, 100 and 200 ms between rounds bridge a lost reply or a hand-over in progress. */
const MAX_CLAIM_ROUNDS = 4;
/** Delays of 50 to 1600 ms, so that a completion is retried for more than 3 s. */
const MAX_COMPLETION_ROUNDS = 7;

type Verdict = keyTypes.ClaimVerdict | { readonly kind: 'unreachable'; readonly detail: string };

/** Claims and completes request keys at the daemon that issued them or its successor. */
export class KeyGateway {
  private readonly completions = new Set<Promise<boolean>>();

  /** @param ownAddress Peer address of this daemon. */
  public constructor(
    private readonly ownAddress: string,
    private readonly authority: keyAuthority.KeyAuthority,
    private readonly peers: gatewayTypes.IKeyPeers,
    private readonly issuers: gatewayTypes.IIssuerRegistry,
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
  ) {}

  /**
   * Claims the key of a request. Call it before the request is dispatched, once for each request
   * received. After any result but `granted`, the request must not be dispatched.
   */
  public async claim(request: gatewayTypes.IKeyedRequest): Promise<gatewayTypes.ClaimResult> {
    const decoded = requestKeyCodec.RequestKeyCodec.decode(request.key);
    if (!decoded.ok) return keyRefusals.invalidKey(decoded.error.kind);
    const claim = { key: request.key, attempt: crypto.randomUUID() };
    const verdict = await this.claimWithRetries(request, decoded.value, claim.attempt);
    if (verdict.kind === 'granted') return { kind: 'granted', claim };
    if (verdict.kind !== 'unreachable') return keyRefusals.toClaimResult(verdict);
    // The claim may have been recorded although its reply was lost. Without a completion, the key
    // would stay in progress until it expires.
    this.completeInBackground(claim, { kind: 'not-run' });
    return keyRefusals.issuerUnavailable(verdict.detail);
  }

  /**
   * Refuses a request whose key has not been claimed yet. Another daemon may be running the same
   * request, so `not-run` is reported only if this refusal is granted the claim.
   */
  public async refuse(
    request: gatewayTypes.IKeyedRequest,
    refusal: gatewayTypes.NotRun,
  ): Promise<Exclude<gatewayTypes.ClaimResult, { kind: 'granted' }>> {
    const claimed = await this.claim(request);
    if (claimed.kind !== 'granted') return claimed;
    this.completeInBackground(claimed.claim, { kind: 'not-run' });
    return refusal;
  }

  /**
   * Records the outcome of a granted claim, with bounded retries. The caller's answer need not
   * wait for it.
   * @returns Whether the outcome was recorded.
   */
  public complete(
    claim: gatewayTypes.IGrantedClaim,
    outcome: keyTypes.KeyOutcome,
  ): Promise<boolean> {
    const completion = this.completeWithRetries(claim, outcome);
    this.completions.add(completion);
    return completion.finally(() => this.completions.delete(completion));
  }

  /** Waits for the completions in progress to end, during a graceful shutdown. */
  public async waitForCompletions(): Promise<void> {
    await Promise.allSettled([...this.completions]);
  }

  private completeInBackground(
    claim: gatewayTypes.IGrantedClaim,
    outcome: keyTypes.KeyOutcome,
  ): void {
    this.complete(claim, outcome).catch(() => undefined);
  }

  private async claimWithRetries(
    request: gatewayTypes.IKeyedRequest,
    key: keyTypes.IRequestKey,
    attempt: string,
  ): Promise<Verdict> {
    let mayBeRecorded = false;
    let detail = 'the issuer of the key is not a known daemon';
    for (let round = 0; round < MAX_CLAIM_ROUNDS; round += 1) {
      if (round > 0) {
        const delayMs = backoff.delayMs(round, this.random);
        if (this.clock.monotonicMs() + delayMs >= request.deadlineMs) break;

        await backoff.wait(this.clock, delayMs);
      }
      const candidates = this.candidatesOf(key);
      if (candidates.length === 0) break;
      for (let index = 0; index < candidates.length; index += 1) {
        const address = candidates[index] as string;

        const verdict = await this.claimAt(address, request, attempt);
        if (verdict.kind !== 'unreachable' && verdict.kind !== 'not-issuer') return verdict;
        mayBeRecorded ||= verdict.kind === 'unreachable';
        detail =
          verdict.kind === 'unreachable' ? verdict.detail : `${address} is no longer the issuer`;
      }
    }
    return mayBeRecorded ? { kind: 'unreachable', detail } : { kind: 'not-issuer' };
  }

  private async claimAt(
    address: string,
    request: gatewayTypes.IKeyedRequest,
    attempt: string,
  ): Promise<Verdict> {
    const { key } = request;
    // The fingerprint of a request does not cover the service it is sent to.
    const fingerprint = `${request.service} ${request.fingerprint}`;
    if (address === this.ownAddress) return this.authority.claim(key, attempt, fingerprint);
    const reply = await this.peers.claimKey(address, { key, attempt, fingerprint });
    if (!reply.ok) return { kind: 'unreachable', detail: `${address}: ${reply.error.message}` };
    const verdict = keyMessages.fromClaimReply(reply.value);
    return verdict ?? { kind: 'unreachable', detail: `${address}: verdict not understood` };
  }

  private async completeWithRetries(
    claim: gatewayTypes.IGrantedClaim,
    outcome: keyTypes.KeyOutcome,
  ): Promise<boolean> {
    const decoded = requestKeyCodec.RequestKeyCodec.decode(claim.key);
    if (!decoded.ok) return false;
    for (let round = 0; round < MAX_COMPLETION_ROUNDS; round += 1) {
      if (round > 0) {
        await backoff.wait(this.clock, backoff.delayMs(round, this.random));
      }
      const candidates = this.candidatesOf(decoded.value);
      for (let index = 0; index < candidates.length; index += 1) {
        if (await this.completeAt(candidates[index] as string, claim, outcome)) return true;
      }
    }
    return false;
  }

  private async completeAt(
    address: string,
    claim: gatewayTypes.IGrantedClaim,
    outcome: keyTypes.KeyOutcome,
  ): Promise<boolean> {
    const { key, attempt } = claim;
    if (address === this.ownAddress) return this.authority.complete(key, attempt, outcome);
    const fields = keyMessages.toOutcomeFields(keyRefusals.dropLargeAnswer(outcome));
    const reply = await this.peers.completeKey(address, { key, attempt, ...fields });
    return reply.ok && reply.value.recorded;
  }

  /**
   * Returns the daemons that may hold the authority over a key, in the order in which they are
   * asked: the issuer's successor, if there is one, then the issuer. Unknown addresses are
   * excluded, because a forged key can name any.
   */
  private candidatesOf(key: keyTypes.IRequestKey): readonly string[] {
    const issuer = { address: key.issuer, incarnation: key.incarnation };
    const name = requestKeyCodec.RequestKeyCodec.encodeIssuer(issuer);
    const successor = this.issuers.successorOf(name);
    const addresses = successor === undefined ? [key.issuer] : [successor, key.issuer];
    return [...new Set(addresses)].filter(
      (address) => address === this.ownAddress || this.issuers.isKnown(address),
    );
  }
}
