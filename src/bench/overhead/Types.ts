/** Options of the overhead bench. */
export interface IOverheadOptions {
  /** Number of measured calls per path, over all rounds. */
  readonly calls: number;
  /** Number of calls in flight at once. */
  readonly concurrency: number;
  /** Number of rounds. Each round measures every path. */
  readonly rounds: number;
  /** Folder for a CPU profile of the daemon. No profile is written if absent. */
  readonly profileFolder?: string;
}

/** Path by which a call reaches the backend server. */
export type CallPath = 'direct' | 'proxy' | 'daemon';

/** Percentiles in milliseconds. */
export interface IPercentiles {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
}

/** Results of one path. */
export interface IPathFigures extends IPercentiles {
  /** Percentiles minus those of the direct calls in the same run. */
  readonly added: IPercentiles;
  /** CPU time of the proxy or daemon in microseconds per call; 0 if direct. */
  readonly processorUsPerCall: number;
  /** Resident memory of the proxy or daemon in megabytes; 0 if direct. */
  readonly memoryMb: number;
}

export interface IOverheadResult {
  readonly calls: number;
  readonly concurrency: number;
  readonly ways: Readonly<Record<CallPath, IPathFigures>>;
  /** Time from the arrival of a request at the daemon to its response, minus the server exchange. */
  readonly insideDaemon: IPercentiles;
}
