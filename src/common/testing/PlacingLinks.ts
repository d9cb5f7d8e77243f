import type * as callTypes from '../call/Types';
import type * as policyTypes from '../policy/Types';
import type * as tableTypes from '../table/Types';
import type * as types from '../Types';
import type * as placedServer from './PlacedServer';

/** Time for which an idle connection can be reused: servers close it after 10 s. */
const REUSABLE_MS = 9_500;

/** Time that a server takes to accept a connection. */
const HANDSHAKE_MS = 1;

/** Counts of one fleet. */
export interface IPlacingCounts {
  opened: number;
  checks: number;
  sends: number;
  cancelled: number;
}

/** Connections of one daemon to the servers of a virtual fleet. */
export class PlacingLinks implements callTypes.IBackendTransport, callTypes.IServerChecker {
  /** Times of the last use of the idle connections, by server. */
  private readonly idle = new Map<string, number[]>();

  public constructor(
    private readonly servers: ReadonlyMap<string, placedServer.PlacedServer>,
    private readonly oneWayMsTo: (server: tableTypes.IServerRow) => number,
    private readonly nextWorkMs: () => number,
    private readonly counts: IPlacingCounts,
    private readonly clock: types.IClock,
  ) {}

  public hasIdleConnection(address: string): boolean {
    return this.idleTo(address).length > 0;
  }

  /** Closes all idle connections, as a server that restarts does. */
  public closeIdle(): void {
    this.idle.clear();
  }

  public check(
    row: tableTypes.IServerRow,
    _path: string,
    timeoutMs: number,
    onReply: (reply: policyTypes.CheckReply) => void,
  ): void {
    this.counts.checks += 1;
    const oneWayMs = this.oneWayMsTo(row);
    const server = this.serverOf(row);
    let isEnded = false;
    const end = (reply: policyTypes.CheckReply) => {
      if (isEnded) return;
      isEnded = true;
      onReply(reply);
    };
    this.clock.setTimer(timeoutMs, () => end({ kind: 'silent' }));
    this.connect(row, () => {
      const { report, isStopped } = server;
      this.clock.setTimer(oneWayMs, () => {
        if (!isStopped && !isEnded) this.release(row);
        end(isStopped ? { kind: 'unreachable' } : { kind: 'ready', report });
      });
    });
  }

  public send(
    call: callTypes.ICall,
    row: tableTypes.IServerRow,
    listener: callTypes.IAttemptListener,
  ): callTypes.IAttempt {
    this.counts.sends += 1;
    const oneWayMs = this.oneWayMsTo(row);
    const server = this.serverOf(row);
    // The work is the same for every attempt of a call.
    const workMs = (call.body as Uint8Array & { workMs?: number }).workMs ?? this.nextWorkMs();
    let isCancelled = false;
    let run: types.IDisposable | undefined;
    const end = (result: 'answered' | 'refused' | 'lost', report: policyTypes.ILoadReport) =>
      this.clock.setTimer(oneWayMs, () => {
        if (isCancelled) return;
        if (result !== 'lost') {
          this.release(row);
          listener.onLoadReport(report);
        }
        listener.onEnd(PlacingLinks.toOutcome(result));
      });
    this.connect(row, () => {
      if (isCancelled) return;
      listener.onSent();
      run = server.arrive(workMs, (result) => end(result, server.report));
    });
    return {
      cancel: () => {
        isCancelled = true;
        this.counts.cancelled += 1;
        this.clock.setTimer(oneWayMs, () => run?.dispose());
      },
    };
  }

  public probe(): void {}

  private static toOutcome(result: 'answered' | 'refused' | 'lost'): callTypes.AttemptOutcome {
    if (result === 'refused') return { kind: 'refused', draining: false };
    if (result === 'lost') return { kind: 'lost', reason: 'connection-lost', detail: '' };
    return { kind: 'answered', answer: { status: 200, headers: [], body: new Uint8Array() } };
  }

  private serverOf(row: tableTypes.IServerRow): placedServer.PlacedServer {
    return this.servers.get(row.address) as placedServer.PlacedServer;
  }

  /** Takes a connection, and calls back when what is sent on it arrives. */
  private connect(row: tableTypes.IServerRow, onArrived: () => void): void {
    const oneWayMs = this.oneWayMsTo(row);
    if (this.idleTo(row.address).pop() !== undefined) {
      this.clock.setTimer(oneWayMs, onArrived);
      return;
    }
    this.counts.opened += 1;
    this.clock.setTimer(oneWayMs, () =>
      this.serverOf(row).accept(HANDSHAKE_MS, () => this.clock.setTimer(2 * oneWayMs, onArrived)),
    );
  }

  private release({ address }: tableTypes.IServerRow): void {
    this.idle.set(address, [...this.idleTo(address), this.clock.monotonicMs()]);
  }

  private idleTo(address: string): number[] {
    const sinceMs = this.clock.monotonicMs() - REUSABLE_MS;
    const kept = (this.idle.get(address) ?? []).filter((usedMs) => usedMs > sinceMs);
    this.idle.set(address, kept);
    return kept;
  }
}
