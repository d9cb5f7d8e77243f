import type * as gossipAgent from '../../common/membership/GossipAgent';
import type * as membershipTypes from '../../common/membership/Types';
import type * as types from '../../common/Types';
import type * as peer from '../peer/generated/peer';
import type * as exchangeLoop from './ExchangeLoop';
import type * as platformReader from './PlatformReader';
import type * as tableDistribution from './TableDistribution';

/** What the fleet part of a daemon needs of its settings. */
export interface IFleetOptions {
  /** IP address and port at which peers reach this daemon. */
  readonly peerAddress: string;
  readonly failureDomain: string;
  readonly platformUrl: string;
}

type Reply<T> = Promise<types.Result<T, Error>>;

/** Compares what peers hold with what is in force here. */
export interface IVersionExchange {
  /** Resolves when newer content of the peer, if any, was taken over. */
  compare(address: string, table: gossipAgent.ITableState): Promise<void>;
}

/** Sends messages to peers. */
export interface IPeerSender {
  exchange(address: string, request: peer.ExchangeRequest): Reply<peer.ExchangeReply>;
  fetchTable(address: string, request: peer.FetchTableRequest): Reply<peer.FetchTableReply>;
  /** Closes the connection to a peer that departed. */
  forget(address: string): void;
}

/** The fleet as one daemon sees it, for operators. Byte counts are since the start. */
export interface IFleetStatus {
  readonly ready: boolean;
  /** 0 before the first table. */
  readonly tableVersion: number;
  readonly tableHash: string;
  readonly maxDaemons: number;
  /** Members heard of and not removed, this daemon included. */
  readonly memberCount: number;
  readonly members: readonly membershipTypes.IMemberStatus[];
  /** Addresses removed within the last 10 minutes. */
  readonly departed: readonly string[];
  readonly facts: readonly membershipTypes.IFact[];
  /** Different tables seen with the version, but not the content, of the one in force. */
  readonly tableConflicts: number;
  /** Different tables that were rejected as invalid. */
  readonly rejectedTables: number;
  /** The last table that was refused since one came into force. */
  readonly lastRefusedTable: tableDistribution.IRefusedTable | undefined;
  readonly reads: platformReader.IReadCounts;
  readonly exchanges: exchangeLoop.IExchangeCounts;
  readonly bytesSent: number;
  readonly bytesReceived: number;
}
