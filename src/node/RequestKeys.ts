import * as crypto from 'node:crypto';

import type * as bunyan from 'bunyan';

import * as keyAuthority from '../common/keys/KeyAuthority';
import type * as factStore from '../common/membership/FactStore';
import type * as memberTable from '../common/membership/MemberTable';
import type * as types from '../common/Types';
import * as issueEndpoint from './keys/IssueEndpoint';
import * as keyGateway from './keys/KeyGateway';
import * as keyHandOver from './keys/KeyHandOver';
import * as keyPeerHandler from './keys/KeyPeerHandler';
import type * as keyTypes from './keys/Types';

const SECRET_BYTES = 32;

/** Timeout of the hand-over during a graceful shutdown, in milliseconds. */
const HAND_OVER_TIMEOUT_MS = 5_000;

/** Time for which peers remember the successor, in milliseconds: the lifetime of a request key. */
const KEYS_MOVED_LIFETIME_MS = 900_000;

/** Identity of this process in the fleet, and its view of the peers. */
export interface IFleetView {
  readonly address: string;
  readonly incarnation: number;
  readonly members: memberTable.MemberTable;
  readonly facts: factStore.FactStore;
}

/** Issues the request keys of one daemon, claims keys here and at peers, and hands them over. */
export class RequestKeys {
  public readonly gateway: keyGateway.KeyGateway;

  /** Handles the key messages of peers. */
  public readonly peerHandler: keyTypes.IKeyPeerHandler;

  private readonly authority: keyAuthority.KeyAuthority;

  private readonly handOver: keyHandOver.KeyHandOver;

  public constructor(
    private readonly fleet: IFleetView,
    peers: keyTypes.IKeyPeers,
    private readonly logger: bunyan,
    clock: types.IClock,
    private readonly random: types.IRandom,
  ) {
    const { address, incarnation, members, facts } = fleet;
    const secret = crypto.randomBytes(SECRET_BYTES);
    this.authority = new keyAuthority.KeyAuthority({ address, incarnation }, secret, clock);
    const directory = {
      isKnown: (known: string) => members.isKnown(known),
      successorOf: (name: string) => {
        const moves = [...facts.about('keys-moved', name)].sort((a, b) => a.ageMs - b.ageMs);
        return moves[0]?.details[0];
      },
    };
    const { authority } = this;
    this.gateway = new keyGateway.KeyGateway(address, authority, peers, directory, clock, random);
    this.handOver = new keyHandOver.KeyHandOver(authority, peers, clock, random);
    this.peerHandler = new keyPeerHandler.KeyPeerHandler(authority);
  }

  /** Number of claims that this process holds, on its own keys and on those it took over. */
  public get claimCount(): number {
    return this.authority.claimCount;
  }

  /** Issues keys for a caller. */
  public issue(countText: string | undefined): issueEndpoint.IssueReply {
    return issueEndpoint.issueKeys(this.authority, countText);
  }

  /** Hands the keys over to one live peer and tells the others. For a graceful shutdown. */
  public async leave(): Promise<void> {
    await this.gateway.waitForCompletions();
    const successor = this.chooseSuccessor();
    if (successor === undefined) {
      this.logger.warn(
        'no live peer to hand the request keys over to; they are lost when this process ends',
      );
      return;
    }
    const result = await this.handOver.run(successor, HAND_OVER_TIMEOUT_MS);
    this.logger.info({ result }, 'request keys handed over');
    result.issuers.forEach((subject) => {
      this.fleet.facts.record({
        kind: 'keys-moved',
        subject,
        lifetimeMs: KEYS_MOVED_LIFETIME_MS,
        details: [result.successor],
      });
    });
  }

  private chooseSuccessor(): keyHandOver.ISuccessor | undefined {
    const { members } = this.fleet;
    const addresses = members.livePeers;
    if (addresses.length === 0) return undefined;
    const address = addresses[this.random.nextInteger(addresses.length)] as string;
    const record = members.recordOf(address);
    return record === undefined ? undefined : { address, incarnation: record.incarnation };
  }
}
