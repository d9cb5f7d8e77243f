/** Whether the servers of one service, or of any, answer this daemon. */
export interface IReachChange {
  /** Undefined if the change concerns the servers of all services together. */
  readonly service: string | undefined;
  readonly isReachable: boolean;
  /** Time since the last reply, in milliseconds. */
  readonly silentMs: number;
  /** Number of servers that left a check unanswered since then. */
  readonly silentServers: number;
}

/** A peer that may run calls for this daemon. */
export interface IHelper {
  /** Peer address. */
  readonly address: string;
  readonly failureDomain: string;
}
