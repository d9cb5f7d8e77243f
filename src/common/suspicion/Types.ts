/** Report of a request that was in flight on backend servers when they were lost. */
export interface ISuspicion {
  readonly fingerprint: string;
  /** Keys of the processes of the lost servers, see `processKeyOf`. */
  readonly servers: readonly string[];
}

/** What this daemon learned about a request that may crash servers. */
export interface ISuspicionChange extends ISuspicion {
  /** Whether this daemon or a peer saw the loss. */
  readonly source: 'own' | 'peer';
  /** Whether the request is refused from now on. */
  readonly isSuspect: boolean;
}
