import * as util from 'node:util';
import * as zlib from 'node:zlib';

import type * as bunyan from 'bunyan';

import type * as gossipAgent from '../../common/membership/GossipAgent';
import type * as types from '../../common/Types';
import * as peer from '../peer/generated/peer';
import * as exchangeMessages from './ExchangeMessages';
import type * as fleetTypes from './Types';

const gzip = util.promisify(zlib.gzip);
const gunzip = util.promisify(zlib.gunzip);

/** Size limit of a decompressed member list, in bytes: about 10,000 members. */
const MAX_LIST_BYTES = 1024 * 1024;

/** Bounds of the interval between two fetches, in milliseconds, and its growth with each fetch. */
const MIN_FETCH_INTERVAL_MS = 500;
const MAX_FETCH_INTERVAL_MS = 16_000;
const FETCH_INTERVAL_GROWTH = 1.5;

/** Time for which a composed list is sent to further peers, in milliseconds. */
const LIST_REUSE_MS = 500;

/**
 * Fetches the whole member list of a peer when this daemon lacks many members, as after a start.
 * Exchanges deliver only a few records each, and until all are known daemons disagree about who
 * reads the directory service.
 */
export class MemberSync {
  private readonly members: gossipAgent.GossipAgent['members'];

  private fetching = false;

  private nextFetchMs = Number.NEGATIVE_INFINITY;

  private intervalMs = MIN_FETCH_INTERVAL_MS;

  private list: Promise<Buffer> | undefined;

  private listComposedMs = 0;

  public constructor(
    private readonly agent: gossipAgent.GossipAgent,
    private readonly peers: Pick<fleetTypes.IPeerSender, 'fetchMembers'>,
    private readonly logger: bunyan,
    private readonly clock: types.IClock,
  ) {
    this.members = agent.members;
  }

  /** Fetches the member list of the peer if its message showed that this daemon lacks members. */
  public async syncFrom({ address, lacksMembers }: gossipAgent.IPeerReport): Promise<void> {
    if (!lacksMembers) {
      this.intervalMs = MIN_FETCH_INTERVAL_MS;
      return;
    }
    const nowMs = this.clock.monotonicMs();
    if (this.fetching || nowMs < this.nextFetchMs) return;
    this.nextFetchMs = nowMs + this.intervalMs;
    this.intervalMs = Math.min(MAX_FETCH_INTERVAL_MS, FETCH_INTERVAL_GROWTH * this.intervalMs);
    this.fetching = true;
    try {
      await this.fetch(address);
    } finally {
      this.fetching = false;
    }
  }

  /** Replies with all members whose heartbeats advance. */
  public async reply(): Promise<peer.FetchMembersReply> {
    const nowMs = this.clock.monotonicMs();
    if (this.list === undefined || nowMs - this.listComposedMs >= LIST_REUSE_MS) {
      this.list = this.compose();
      this.listComposedMs = nowMs;
    }
    return { compressedMembers: await this.list };
  }

  private compose(): Promise<Buffer> {
    const current = this.members.statuses
      .map(({ record }) => record)
      .filter(({ address }) => this.members.hasRecentHeartbeat(address));
    const list = peer.MemberList.encode({ members: [this.agent.ownRecord, ...current] }).finish();
    return gzip(list);
  }

  private async fetch(address: string): Promise<void> {
    const fetched = await this.peers.fetchMembers(address);
    if (!fetched.ok) {
      this.logger.debug({ address, err: fetched.error }, 'failed to fetch members from peer');
      return;
    }
    try {
      const limits = { maxOutputLength: MAX_LIST_BYTES };
      const list = peer.MemberList.decode(await gunzip(fetched.value.compressedMembers, limits));
      list.members
        .filter(exchangeMessages.isUsable)
        .forEach((member) => this.members.merge(member));
    } catch (error) {
      this.logger.warn({ err: error, address }, 'failed to decode members from peer');
    }
  }
}
