import type * as callTypes from '../../common/call/Types';
import type * as policyTypes from '../../common/policy/Types';
import type * as tableTypes from '../../common/table/Types';
import type * as types from '../../common/Types';
import * as benchTable from './BenchTable';
import * as exchange from './Exchange';
import type * as simulatedNetwork from './SimulatedNetwork';
import type * as benchTypes from './Types';

/** A connection to a server. Each carries one exchange at a time. */
export interface IConnection {
  silent: boolean;
}

/** Attempts and probes that the daemons have sent. */
export interface ITraffic {
  attempts: number;
  leafAttempts: number;
  probeTimesMs: number[];
}

/** The transport of one simulated daemon. */
export class SimulatedTransport implements callTypes.IBackendTransport {
  private readonly idleConnections = new Map<string, IConnection[]>();

  public constructor(
    private readonly failureDomain: string,
    private readonly network: simulatedNetwork.SimulatedNetwork,
    private readonly clock: types.IClock,
    private readonly traffic: ITraffic,
  ) {}

  public send(
    call: callTypes.ICall,
    row: tableTypes.IServerRow,
    listener: callTypes.IAttemptListener,
  ): callTypes.IAttempt {
    const server = this.network.serverAt(row.address);
    const pool = this.poolOf(row.address);
    const reused = pool.pop();
    const connection = reused ?? { silent: false };
    this.traffic.attempts += 1;
    if (row.service === benchTable.FAILING_SERVICE) this.traffic.leafAttempts += 1;
    const started = new exchange.Exchange(
      call as benchTypes.ISimulatedCall,
      this.failureDomain,
      server,
      { connection, isNew: reused === undefined, release: () => pool.push(connection) },
      this.network,
      this.clock,
      listener,
    );
    this.network.recordSent(row.address);
    started.start();
    return { cancel: () => started.cancel() };
  }

  public probe(
    row: tableTypes.IServerRow,
    timeoutMs: number,
    onReply: (report: policyTypes.ILoadReport | undefined) => void,
  ): void {
    this.traffic.probeTimesMs.push(this.clock.monotonicMs());
    const server = this.network.serverAt(row.address);
    const latencyMs = this.network.latencyMs(this.failureDomain, row.failureDomain);
    const timeout = this.clock.setTimer(timeoutMs, () => onReply(undefined));
    this.clock.setTimer(latencyMs, () => {
      if (server.isDown || this.network.isPartitioned(this.failureDomain, row.failureDomain))
        return;
      const { report } = server;
      this.clock.setTimer(latencyMs, () => {
        if (this.network.isPartitioned(this.failureDomain, row.failureDomain)) return;
        timeout.dispose();
        onReply(report);
      });
    });
  }

  /** Makes the idle connections to the server stop responding. */
  public silence(address: string): void {
    this.poolOf(address).forEach((connection) => Object.assign(connection, { silent: true }));
  }

  private poolOf(address: string): IConnection[] {
    const pool = this.idleConnections.get(address) ?? [];
    this.idleConnections.set(address, pool);
    return pool;
  }
}
