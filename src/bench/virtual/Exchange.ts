import type * as callTypes from '../../common/call/Types';
import type * as types from '../../common/Types';
import type * as simulatedNetwork from './SimulatedNetwork';
import type * as simulatedServer from './SimulatedServer';
import type * as benchTypes from './Types';

/** Time to open a connection (design section 1.7). */
const OPEN_MS = 1;
/** Time without progress after which an exchange counts as lost. */
const SILENCE_TIMEOUT_MS = 1_000;
/** Time that a crashed server stays down. */
const RESTART_MS = 1_000;

/** The connection of an exchange. */
export interface IPooledConnection {
  readonly connection: { readonly silent: boolean };
  readonly isNew: boolean;
  /** Returns the connection to the pool. */
  release(): void;
}

/** One request and its response between a simulated daemon and a simulated server. */
export class Exchange {
  private ended = false;

  private cancelledAtServer = false;

  private cancelJob: (() => void) | undefined;

  private silenceTimer: types.IDisposable | undefined;

  private readonly latencyMs: number;

  public constructor(
    private readonly call: benchTypes.ISimulatedCall,
    private readonly daemonDomain: string,
    private readonly server: simulatedServer.SimulatedServer,
    private readonly held: IPooledConnection,
    private readonly network: simulatedNetwork.SimulatedNetwork,
    private readonly clock: types.IClock,
    private readonly listener: callTypes.IAttemptListener,
  ) {
    this.latencyMs = network.latencyMs(daemonDomain, server.row.failureDomain);
  }

  public start(): void {
    const delayMs = (this.held.isNew ? OPEN_MS : 0) + this.latencyMs;
    this.silenceTimer = this.clock.setTimer(SILENCE_TIMEOUT_MS, () =>
      this.end({ kind: 'lost', reason: 'silent', detail: 'no progress' }),
    );
    this.clock.setTimer(delayMs, () => this.arrive());
    this.listener.onSent();
  }

  public cancel(): void {
    if (this.ended) return;
    this.ended = true;
    this.silenceTimer?.dispose();
    this.clock.setTimer(this.latencyMs, () => {
      this.cancelledAtServer = true;
      this.cancelJob?.();
    });
  }

  private get isCut(): boolean {
    return this.network.isPartitioned(this.daemonDomain, this.server.row.failureDomain);
  }

  private arrive(): void {
    this.network.recordArrival(this.server.row.address);
    if (this.cancelledAtServer || this.held.connection.silent || this.isCut) return;
    if (this.server.isDown) {
      this.reply(() => this.end({ kind: 'not-sent', detail: 'connection refused' }));
      return;
    }
    if (!this.server.accepts) {
      const { report } = this.server;
      this.reply(() => {
        this.listener.onLoadReport(report);
        this.end({ kind: 'refused', draining: report.draining });
      });
      return;
    }
    this.cancelJob = this.server.submit(this.call.workMs, this.call.crashes, (end) =>
      this.finish(end),
    );
  }

  private finish(end: simulatedServer.JobEnd): void {
    if (end === 'done' && this.call.crashes) {
      this.server.crash(RESTART_MS);
      this.breakConnection();
      return;
    }
    if (end === 'crashed') {
      this.breakConnection();
      return;
    }
    this.network.runNested(this.call, (failed) => {
      const { report } = this.server;
      this.reply(() => this.answer(failed, report));
    });
  }

  private breakConnection(): void {
    this.reply(() =>
      this.end({ kind: 'lost', reason: 'connection-lost', detail: 'connection reset' }),
    );
  }

  private answer(failed: boolean, report: simulatedServer.SimulatedServer['report']): void {
    if (this.ended) return;
    this.held.release();
    this.listener.onLoadReport(report);
    const status = failed ? 503 : 200;
    const headers = failed ? ['request-outcome', 'unknown'] : [];
    this.end({ kind: 'answered', answer: { status, headers, body: new Uint8Array() } });
  }

  private reply(deliver: () => void): void {
    this.clock.setTimer(this.latencyMs, () => {
      if (!this.ended && !this.isCut) deliver();
    });
  }

  private end(outcome: callTypes.AttemptOutcome): void {
    if (this.ended) return;
    this.ended = true;
    this.silenceTimer?.dispose();
    this.listener.onEnd(outcome);
  }
}
