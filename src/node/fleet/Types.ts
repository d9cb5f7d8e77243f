import type * as gossipAgent from '../../common/membership/GossipAgent';
import type * as types from '../../common/Types';
import type * as peer from '../peer/generated/peer';

/** Settings of a daemon that its fleet membership uses. */
export interface IFleetOptions {
  /** IP address and port at which peers reach this daemon. */
  readonly peerAddress: string;
  readonly failureDomain: string;
  readonly platformUrl: string;
}

type Reply<T> = Promise<types.Result<T, Error>>;

/** Pulls newer tables or directories from peers. */
export interface IPeerSync {
  /** Compares the state of a peer with the local one. Resolves once newer content has been applied. */
  syncFrom(address: string, table: gossipAgent.ITableState): Promise<void>;
}

/** Sends messages to peers. */
export interface IPeerSender {
  exchange(address: string, request: peer.ExchangeRequest): Reply<peer.ExchangeReply>;
  fetchTable(address: string, request: peer.FetchTableRequest): Reply<peer.FetchTableReply>;
  fetchMembers(address: string): Reply<peer.FetchMembersReply>;
  /** Closes the connection to a peer that departed. */
  disconnect(address: string): void;
}
