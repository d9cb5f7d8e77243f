/** Settings of the overhead bench. */
export interface IOverheadOptions {
  /** Calls measured for each way, in all rounds together. */
  readonly calls: number;
  /** Calls under way at once. */
  readonly concurrency: number;
  /** Rounds in which the ways alternate. */
  readonly rounds: number;
  /** Folder for a processor profile of the daemon, if one is wanted. */
  readonly profileFolder?: string;
}

/** How a call reaches the backend server. */
export type CallPath = 'direct' | 'proxy' | 'daemon';

/** Percentiles in milliseconds. */
export interface IPercentiles {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
}

/** Figures of one way. */
export interface IPathFigures extends IPercentiles {
  /** Percentiles minus those of the direct calls of the same run. */
  readonly added: IPercentiles;
  /** Processor time of the process in between, in microseconds per call; 0 if direct. */
  readonly processorUsPerCall: number;
  /** Resident memory of the process in between, in megabytes; 0 if direct. */
  readonly memoryMb: number;
}

export interface IOverheadResult {
  readonly calls: number;
  readonly concurrency: number;
  readonly ways: Readonly<Record<CallPath, IPathFigures>>;
  /** Time from the arrival of a request at the daemon to its response, without the server's time. */
  readonly insideDaemon: IPercentiles;
}
