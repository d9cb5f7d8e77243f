import type * as membershipTypes from '../../common/membership/Types';
import type * as exchangeLoop from './ExchangeLoop';
import type * as platformReader from './PlatformReader';
import type * as tableDistribution from './TableDistribution';

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
