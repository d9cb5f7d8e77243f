import * as undici from 'undici';

import type * as callTypes from '../../common/call/Types';
import type * as policyTypes from '../../common/policy/Types';
import type * as tableTypes from '../../common/table/Types';
import type * as types from '../../common/Types';
import * as attemptHandler from './AttemptHandler';
import * as connectionPool from './ConnectionPool';
import * as headers from './Headers';

/** Sends attempts and probes to backend servers over HTTP/1.1. */
export class HttpTransport implements callTypes.IBackendTransport, types.IDisposable {
  private readonly pools = new Map<string, connectionPool.ConnectionPool>();

  private readonly probeAgent = new undici.Agent({ connections: 1, pipelining: 1 });

  public constructor(private readonly clock: types.IClock) {}

  public send(
    call: callTypes.ICall,
    server: tableTypes.IServerRow,
    listener: callTypes.IAttemptListener,
  ): callTypes.IAttempt {
    const pool = this.poolOf(server.address);
    const connection = pool.acquire();
    const handler = new attemptHandler.AttemptHandler(
      call.service.maxAnswerBytes,
      listener,
      (reusable) => pool.release(connection, reusable),
    );
    connection.dispatch(
      {
        path: call.path,
        method: call.method,
        headers: this.requestHeaders(call),
        body: call.body.length > 0 ? call.body : null,
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      handler,
    );
    return { cancel: () => handler.cancel() };
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
      .then(async (reply) => {
        const load = (await reply.body.json()) as Record<string, unknown>;
        const inFlight = Number(load.inFlight);
        const queued = Number(load.queued);
        const usable = inFlight >= 0 && queued >= 0;
        onReply(usable ? { inFlight, queued, draining: load.state === 'draining' } : undefined);
      })
      .catch(() => onReply(undefined));
  }

  public dispose(): void {
    this.pools.forEach((pool) => pool.dispose());
    this.probeAgent.destroy().catch(() => undefined);
  }

  private poolOf(address: string): connectionPool.ConnectionPool {
    const known = this.pools.get(address);
    if (known !== undefined) return known;
    const pool = new connectionPool.ConnectionPool(address);
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
