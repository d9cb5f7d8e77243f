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
  /** Number of distinct tables with the version of the active one, but different content. */
  readonly tableConflicts: number;
  /** Number of tables rejected as invalid. Consecutive offers of the same text count once. */
  readonly rejectedTables: number;
  /** Last table refused, as invalid or in conflict, since the current one became active. */
  readonly lastRefusedTable: tableDistribution.IRefusedTable | undefined;
  readonly reads: platformReader.IReadCounts;
  readonly exchanges: exchangeLoop.IExchangeCounts;
  readonly bytesSent: number;
  readonly bytesReceived: number;
}
