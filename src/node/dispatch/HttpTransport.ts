import * as undici from 'undici';

import * as statuses from '../../common/call/Statuses';
import type * as callTypes from '../../common/call/Types';
import * as connectionCounts from '../../common/connections/ConnectionCounts';
import * as emitter from '../../common/Emitter';
import * as byteBudget from '../../common/memory/ByteBudget';
import type * as policyTypes from '../../common/policy/Types';
import type * as restraintTypes from '../../common/restraint/Types';
import type * as tableTypes from '../../common/table/Types';
import type * as linkPace from '../../common/transfer/LinkPace';
import type * as types from '../../common/Types';
import type * as backendProtocol from './BackendProtocol';
import * as connectionPool from './ConnectionPool';
import * as headers from './Headers';
import * as defaultBackendProtocol from './DefaultBackendProtocol';
import * as pooledAttempt from './PooledAttempt';
import type * as dispatchTypes from './Types';

/** Interval between sweeps for retired connections, in milliseconds. */
const SWEEP_INTERVAL_MS = 5_000;

/** Maximum size of the response to a probe or a health check, in bytes. */
const MAX_PROBE_ANSWER_BYTES = 4_096;

/**
 * Time for which a new connection is kept open after the timeout of its first health check, in
 * milliseconds. A full server accepts a connection once a slot is free.
 */
const LATE_ACCEPTANCE_MS = 4_000;

/** Health checks open no connection to a server that already has this many. */
const MAX_CHECK_CONNECTIONS = 4;

/** What a server stated in a response. */
export interface ISignalsEvent {
  readonly server: tableTypes.IServerRow;
  readonly source: restraintTypes.SignalSource;
  /** Identifier of the request that was answered; undefined for a health check. */
  readonly requestId: string | undefined;
  readonly signals: restraintTypes.IServerSignals;
}

/** Sends attempts and probes to backend servers over HTTP/1.1. */
export class HttpTransport
  implements callTypes.IBackendTransport, callTypes.IServerChecker, types.IDisposable
{
  private readonly pools = new Map<string, connectionPool.ConnectionPool>();

  private readonly probeAgent = new undici.Agent({
    connections: 1,
    pipelining: 1,
    maxResponseSize: MAX_PROBE_ANSWER_BYTES,
  });

  private readonly signalsEmitter = new emitter.Emitter<ISignalsEvent>();

  /** Fires for the head of each response to a request or a health check. */
  public readonly onSignals: types.Event<ISignalsEvent> = this.signalsEmitter.event;

  /** Connections opened and closed. */
  public readonly connectionCounts = new connectionCounts.ConnectionCounts();

  private readonly countedEmitter = new emitter.Emitter<ReadonlyMap<string, number>>();

  /** Fires every few seconds with the counts of connections by cause, if any has changed. */
  public readonly onConnectionsCounted: types.Event<ReadonlyMap<string, number>> =
    this.countedEmitter.event;

  private lastTotal = 0;

  private sweepTimer: types.IDisposable | undefined;

  public constructor(
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
    private readonly protocol: backendProtocol.BackendProtocol = new defaultBackendProtocol.DefaultBackendProtocol(
      clock,
    ),
    private readonly budget = new byteBudget.ByteBudget(byteBudget.UNLIMITED),
    /** Pace of large answers on their way in; undefined for none. */
    private readonly inbound?: linkPace.LinkPace,
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
      this.toRequest(call, server),
      Math.floor(server.maxConnections / call.table.maxDaemons),
      listener,
    );
    attempt.begin();
    return attempt;
  }

  /**
   * Checks the health of a server on a connection of its pool, which also verifies the connection
   * for the request that may follow. A check is never cancelled before its timeout, since
   * cancelling it would close the connection. One on a new connection is left to end later.
   */
  public check(
    server: tableTypes.IServerRow,
    healthPath: string,
    timeoutMs: number,
    onReply: (reply: policyTypes.CheckReply) => void,
  ): void {
    let timer: types.IDisposable | undefined;
    let hasReplied = false;
    const end = (reply: policyTypes.CheckReply) => {
      timer?.dispose();
      if (hasReplied) return;
      hasReplied = true;
      onReply(reply);
    };
    const request = this.toCheckRequest(server, healthPath);
    const attempt = new pooledAttempt.PooledAttempt(
      this.poolOf(server.address),
      request,
      MAX_CHECK_CONNECTIONS,
      {
        mayStart: () => true,
        mayAbandon: () => true,
        onSent: () => undefined,
        onLoadReport: () => undefined,
        onEnd: (outcome) => end(this.toCheckReply(server, outcome)),
      },
    );
    timer = this.clock.setTimer(timeoutMs, () => {
      end({ kind: 'silent' });
      if (!attempt.isOnNewConnection) attempt.cancel();
      else timer = this.clock.setTimer(LATE_ACCEPTANCE_MS, () => attempt.cancel());
    });
    attempt.begin();
  }

  public probe(
    server: tableTypes.IServerRow,
    timeoutMs: number,
    onReply: (report: policyTypes.ILoadReport | undefined) => void,
  ): void {
    this.probeAgent
      .request({
        origin: `http://${server.address}`,
        path: '/load',
        method: 'GET',
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
        signal: AbortSignal.timeout(timeoutMs),
      })
      .then((reply) => {
        if (statuses.isFinal(reply.statusCode)) return reply.body.json();
        reply.body.on('error', () => undefined).destroy();
        return undefined;
      })
      .then(
        (load) => onReply(headers.parseProbeReply(load)),
        () => onReply(undefined),
      );
  }

  public hasIdleConnection(address: string): boolean {
    return (this.pools.get(address)?.idleCount ?? 0) > 0;
  }

  /** Returns the number of open connections to a server, and how many of them are idle. */
  public connectionsOf(address: string): { readonly open: number; readonly idle: number } {
    const pool = this.pools.get(address);
    return { open: pool?.size ?? 0, idle: pool?.idleCount ?? 0 };
  }

  /** Closes idle connections now and busy ones after their exchange. Called after a pause. */
  public retireConnections(): void {
    this.pools.forEach((pool) => pool.retireAll());
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
      this.reportCounts();
      this.scheduleSweep();
    });
  }

  private reportCounts(): void {
    const { byCause, total } = this.connectionCounts;
    if (total === this.lastTotal) return;
    this.lastTotal = total;
    this.countedEmitter.fire(byCause);
  }

  private poolOf(address: string): connectionPool.ConnectionPool {
    const known = this.pools.get(address);
    if (known !== undefined) return known;
    const pool = new connectionPool.ConnectionPool(
      address,
      this.clock,
      this.random,
      this.connectionCounts,
    );
    this.pools.set(address, pool);
    return pool;
  }

  private pauseAfter(bytes: number, onEnd: () => void): types.IDisposable | undefined {
    const delayMs = this.inbound?.pass(bytes) ?? 0;
    return delayMs === 0 ? undefined : this.clock.setTimer(delayMs, onEnd);
  }

  private toRequest(
    call: callTypes.ICall,
    server: tableTypes.IServerRow,
  ): dispatchTypes.IExchangeRequest {
    const { protocol } = this;
    const { method, path, body, service } = call;
    const remainingMs = Math.max(1, Math.floor(call.deadlineMs - this.clock.monotonicMs()));
    return {
      method,
      path,
      body,
      headers: protocol.requestHeaders(call, server, remainingMs),
      idempotent: service.idempotent,
      isCheck: false,
      maxAnswerBytes: service.maxAnswerBytes,
      reserveAnswer: (onEvicted) => this.budget.reserveAnswer(onEvicted),
      pauseAfter: (bytes, onEnd) => this.pauseAfter(bytes, onEnd),
      allowsCloseDelimitedBody: protocol.allowsCloseDelimitedBody,
      onHead: (status, list) => this.recordHead(server, status, list, call.requestId),
      classify: (status, list, isReused) => protocol.classifyResponse(call, status, list, isReused),
      readLoad: (list) => protocol.readLoad(list),
    };
  }

  private toCheckRequest(
    server: tableTypes.IServerRow,
    path: string,
  ): dispatchTypes.IExchangeRequest {
    return {
      method: 'GET',
      path,
      body: new Uint8Array(),
      headers: ['host', server.address],
      idempotent: true,
      isCheck: true,
      maxAnswerBytes: MAX_PROBE_ANSWER_BYTES,
      reserveAnswer: (onEvicted) => this.budget.reserveAnswer(onEvicted),
      pauseAfter: (bytes, onEnd) => this.pauseAfter(bytes, onEnd),
      allowsCloseDelimitedBody: this.protocol.allowsCloseDelimitedBody,
      onHead: (status, list) => this.recordHead(server, status, list),
      classify: (_status, list) =>
        this.protocol.isForeignCheckReply(list)
          ? { kind: 'invalid', detail: 'the reply to a check belongs to an earlier request' }
          : { kind: 'answer' },
      readLoad: () => undefined,
    };
  }

  private recordHead(
    server: tableTypes.IServerRow,
    status: number,
    list: readonly string[],
    requestId?: string,
  ): void {
    const signals = this.protocol.readSignals(server, status, list);
    const source = requestId === undefined ? 'check' : 'answer';
    if (signals !== undefined) this.signalsEmitter.fire({ server, source, requestId, signals });
  }

  private toCheckReply(
    server: tableTypes.IServerRow,
    outcome: callTypes.AttemptOutcome,
  ): policyTypes.CheckReply {
    if (outcome.kind === 'answered') {
      return this.protocol.classifyCheckReply(
        server,
        outcome.answer.status,
        outcome.answer.headers,
      );
    }
    const isLimit = outcome.kind === 'not-sent' && outcome.reason === 'connection-limit';
    const isForeign = outcome.kind === 'lost' && outcome.reason === 'answer-invalid';
    return { kind: isLimit || isForeign ? 'silent' : 'unreachable' };
  }
}
