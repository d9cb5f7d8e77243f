import * as undici from 'undici';

import type * as callTypes from '../../common/call/Types';
import type * as policyTypes from '../../common/policy/Types';
import type * as tableTypes from '../../common/table/Types';
import type * as types from '../../common/Types';
import * as connectionPool from './ConnectionPool';
import * as headers from './Headers';
import * as pooledAttempt from './PooledAttempt';

/** Interval between two checks for connections to retire, in milliseconds. */
const SWEEP_INTERVAL_MS = 5_000;

/** Size limit of an answer to a probe, in bytes. */
const MAX_PROBE_ANSWER_BYTES = 4_096;

/** Sends attempts and probes to backend servers over HTTP/1.1. */
export class HttpTransport implements callTypes.IBackendTransport, types.IDisposable {
  private readonly pools = new Map<string, connectionPool.ConnectionPool>();

  private readonly probeAgent = new undici.Agent({
    connections: 1,
    pipelining: 1,
    maxResponseSize: MAX_PROBE_ANSWER_BYTES,
  });

  private sweepTimer: types.IDisposable | undefined;

  public constructor(
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
  ) {
    this.scheduleSweep();
  }

  public send(
    call: callTypes.ICall,
    server: tableTypes.IServerRow,
    listener: callTypes.IAttemptListener,
  ): callTypes.IAttempt {
    const attempt = new pooledAttempt.PooledAttempt(
      this.poolOf(server.address),
      call,
      Math.floor(server.maxConnections / call.table.maxDaemons),
      this.requestHeaders(call),
      listener,
    );
    attempt.begin();
    return attempt;
  }

  public probe(
    server: tableTypes.IServerRow,
    timeoutMs: number,
    onReply: (report: policyTypes.ILoadReport | undefined) => void,
  ): void {
    undici
      .request(`http://${server.address}/load`, {
        dispatcher: this.probeAgent,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
        signal: AbortSignal.timeout(timeoutMs),
      })
      .then((reply) => reply.body.json())
      .then(
        (load) => onReply(headers.readLoad(load)),
        () => onReply(undefined),
      );
  }

  /** Connections held to a server. */
  public connectionsOf(address: string): { readonly open: number; readonly idle: number } {
    const pool = this.pools.get(address);
    return { open: pool?.size ?? 0, idle: pool?.idleSize ?? 0 };
  }

  /** Closes idle connections, and busy ones after their exchange, as after a pause. */
  public distrustConnections(): void {
    this.pools.forEach((pool) => pool.distrustAll());
  }

  public dispose(): void {
    this.sweepTimer?.dispose();
    this.pools.forEach((pool) => pool.dispose());
    this.probeAgent.destroy().catch(() => undefined);
  }

  private scheduleSweep(): void {
    this.sweepTimer = this.clock.setTimer(SWEEP_INTERVAL_MS, () => {
      this.pools.forEach((pool, address) => {
        pool.closeRetired();
        if (pool.size === 0) this.pools.delete(address);
      });
      this.scheduleSweep();
    });
  }

  private poolOf(address: string): connectionPool.ConnectionPool {
    const known = this.pools.get(address);
    if (known !== undefined) return known;
    const pool = new connectionPool.ConnectionPool(address, this.clock, this.random);
    this.pools.set(address, pool);
    return pool;
  }

  private requestHeaders(call: callTypes.ICall): string[] {
    const remainingMs = Math.max(1, Math.floor(call.deadlineMs - this.clock.monotonicMs()));
    const deadline = this.clock.wallTime().getTime() + remainingMs;
    return [
      ...call.headers,
      headers.REQUEST_ID,
      call.requestId,
      headers.REQUEST_TIMEOUT_MS,
      `${remainingMs}`,
      headers.REQUEST_DEADLINE,
      `${deadline}`,
      headers.CALL_DEPTH,
      `${call.depth + 1}`,
      headers.RETRIES_SPENT,
      `${call.retriesSpent}`,
    ];
  }
}
