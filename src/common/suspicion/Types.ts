/** Report of a request that was in flight on backend servers when they were lost. */
export interface ISuspicion {
  readonly fingerprint: string;
  /** Addresses of the lost servers. */
  readonly servers: readonly string[];
}
