import type * as gossipAgent from '../../common/membership/GossipAgent';
import type * as types from '../../common/Types';
import type * as peer from '../peer/generated/peer';

/** What the fleet part of a daemon needs of its settings. */
export interface IFleetOptions {
  /** IP address and port at which peers reach this daemon. */
  readonly peerAddress: string;
  readonly failureDomain: string;
  readonly platformUrl: string;
}

type Reply<T> = Promise<types.Result<T, Error>>;

/** Compares what peers hold with what is in force here. */
export interface IPeerSync {
  /** Resolves when newer content of the peer, if any, was taken over. */
  syncFrom(address: string, table: gossipAgent.ITableState): Promise<void>;
}

/** Sends messages to peers. */
export interface IPeerSender {
  exchange(address: string, request: peer.ExchangeRequest): Reply<peer.ExchangeReply>;
  fetchTable(address: string, request: peer.FetchTableRequest): Reply<peer.FetchTableReply>;
  /** Closes the connection to a peer that departed. */
  disconnect(address: string): void;
}
