import type * as membershipTypes from '../../common/membership/Types';
import type * as exchangeLoop from './ExchangeLoop';
import type * as platformReader from './PlatformReader';
import type * as tableDistribution from './TableDistribution';

/** The fleet as seen by one daemon, for operators. Byte counts are since the start. */
export interface IFleetStatus {
  readonly ready: boolean;
  /** 0 before the first table. */
  readonly tableVersion: number;
  readonly tableHash: string;
  readonly maxDaemons: number;
  /** Number of known members, including this daemon. */
  readonly memberCount: number;
  readonly members: readonly membershipTypes.IMemberStatus[];
  /** Addresses removed within the last 10 minutes. */
  readonly departed: readonly string[];
  readonly facts: readonly membershipTypes.IFact[];
  /** Number of distinct tables with the version of the one in force, but different content. */
  readonly tableConflicts: number;
  /** Number of distinct tables that were rejected as invalid. */
  readonly rejectedTables: number;
  /** The last table that was refused since the current one came into force. */
  readonly lastRefusedTable: tableDistribution.IRefusedTable | undefined;
  readonly reads: platformReader.IReadCounts;
  readonly exchanges: exchangeLoop.IExchangeCounts;
  readonly bytesSent: number;
  readonly bytesReceived: number;
}
