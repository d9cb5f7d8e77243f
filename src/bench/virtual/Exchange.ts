import type * as callTypes from '../../common/call/Types';
import type * as types from '../../common/Types';
import type * as simulatedNetwork from './SimulatedNetwork';
import type * as simulatedServer from './SimulatedServer';
import type * as benchTypes from './Types';

/** Time to establish a connection (design section 1.7). */
const CONNECT_MS = 1;
/** Time without a response after which an exchange counts as lost. */
const SILENCE_TIMEOUT_MS = 1_000;
const CRASH_DOWNTIME_MS = 1_000;

/** The connection of one exchange, either new or taken from the pool. */
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
    private readonly pooled: IPooledConnection,
    private readonly network: simulatedNetwork.SimulatedNetwork,
    private readonly clock: types.IClock,
    private readonly listener: callTypes.IAttemptListener,
  ) {
    this.latencyMs = network.latencyMs(daemonDomain, server.row.failureDomain);
  }

  public start(): void {
    const delayMs = (this.pooled.isNew ? CONNECT_MS : 0) + this.latencyMs;
    this.silenceTimer = this.clock.setTimer(SILENCE_TIMEOUT_MS, () =>
      this.end({ kind: 'lost', reason: 'silent', detail: 'no progress' }),
    );
    this.clock.setTimer(delayMs, () => this.onArrival());
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

  private get isPartitioned(): boolean {
    return this.network.isPartitioned(this.daemonDomain, this.server.row.failureDomain);
  }

  private onArrival(): void {
    this.network.recordArrival(this.server.row.address);
    if (this.cancelledAtServer || this.pooled.connection.silent || this.isPartitioned) return;
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
      this.onJobEnd(end),
    );
  }

  private onJobEnd(result: simulatedServer.JobEnd): void {
    if (result === 'done' && this.call.crashes) {
      this.server.crash(CRASH_DOWNTIME_MS);
      this.resetConnection();
      return;
    }
    if (result === 'crashed') {
      this.resetConnection();
      return;
    }
    this.network.runNested(this.call, (failed) => {
      const { report } = this.server;
      this.reply(() => this.sendAnswer(failed, report));
    });
  }

  private resetConnection(): void {
    this.reply(() =>
      this.end({ kind: 'lost', reason: 'connection-lost', detail: 'connection reset' }),
    );
  }

  private sendAnswer(failed: boolean, report: simulatedServer.SimulatedServer['report']): void {
    if (this.ended) return;
    this.pooled.release();
    this.listener.onLoadReport(report);
    const status = failed ? 503 : 200;
    const headers = failed ? ['request-outcome', 'unknown'] : [];
    this.end({ kind: 'answered', answer: { status, headers, body: new Uint8Array() } });
  }

  private reply(deliver: () => void): void {
    this.clock.setTimer(this.latencyMs, () => {
      if (!this.ended && !this.isPartitioned) deliver();
    });
  }

  private end(outcome: callTypes.AttemptOutcome): void {
    if (this.ended) return;
    this.ended = true;
    this.silenceTimer?.dispose();
    this.listener.onEnd(outcome);
  }
}
