/** A request that was in flight on backend servers at the moment they were lost. */
export interface ISuspicion {
  readonly fingerprint: string;
  /** Addresses of the servers lost. */
  readonly servers: readonly string[];
}
