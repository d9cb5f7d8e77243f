import type * as bunyan from 'bunyan';

import * as callCoordinator from '../common/call/CallCoordinator';
import type * as callTypes from '../common/call/Types';
import * as leastInFlightPolicy from '../common/policy/LeastInFlightPolicy';
import * as requestSuspicion from '../common/suspicion/RequestSuspicion';
import type * as types from '../common/Types';
import * as balancerSet from './BalancerSet';
import * as httpTransport from './dispatch/HttpTransport';
import * as fleetModule from './fleet/Fleet';
import * as pauseDetector from './PauseDetector';
import * as peerClient from './peer/PeerClient';
import * as peerServer from './peer/PeerServer';
import * as callerServer from './server/CallerServer';
import * as explain from './server/Explain';
import * as operatorServer from './server/OperatorServer';
import type * as serverTypes from './server/Types';
import * as addresses from './settings/Addresses';
import type * as settings from './settings/Settings';
import * as makeTelemetry from './telemetry/MakeTelemetry';
import * as names from './telemetry/Names';
import * as observedTransport from './telemetry/ObservedTransport';
import * as telemetryModule from './telemetry/Telemetry';

/** Time for callers to take the last responses, in milliseconds. */
const LAST_RESPONSES_MS = 5_000;

/** An address of the settings cannot be used. */
export class StartError extends Error {
  public constructor(setting: string, address: string, cause: Error) {
    super(`cannot listen on ${setting} ${address}: ${cause.message}`, { cause });
    this.name = 'StartError';
  }
}

/** One process of the fleet, composed of its services. */
export class Daemon {
  private readonly balancers: balancerSet.BalancerSet;

  private readonly transport: httpTransport.HttpTransport;

  private readonly coordinator: callCoordinator.CallCoordinator;

  private readonly callers: callerServer.CallerServer;

  private readonly operators: operatorServer.OperatorServer;

  private readonly peers: peerServer.PeerServer;

  private readonly peerClient = new peerClient.PeerClient();

  private readonly fleet: fleetModule.Fleet;

  private readonly telemetry: telemetryModule.Telemetry;

  private readonly pauses: pauseDetector.PauseDetector;

  private stage: 'running' | 'draining' | 'stopping' = 'running';

  private stopped: Promise<void> | undefined;

  public constructor(
    private readonly options: settings.Settings,
    private readonly logger: bunyan,
    private readonly clock: types.IClock,
    random: types.IRandom,
  ) {
    const { metrics, traces } = makeTelemetry.makeExporters(options, logger, clock, random);
    this.telemetry = new telemetryModule.Telemetry(logger, clock, metrics, traces);
    this.fleet = new fleetModule.Fleet(options, this.peerClient, logger, clock, random);
    this.transport = new httpTransport.HttpTransport(clock, random);
    this.balancers = new balancerSet.BalancerSet(
      () => new leastInFlightPolicy.LeastInFlightPolicy(random),
      clock,
    );
    const isObserved = metrics !== undefined || traces !== undefined;
    const transport: callTypes.IBackendTransport = isObserved
      ? new observedTransport.ObservedTransport(this.transport, metrics, traces, clock)
      : this.transport;
    const suspicion = new requestSuspicion.RequestSuspicion(clock);
    this.coordinator = new callCoordinator.CallCoordinator(transport, suspicion, clock);
    this.pauses = new pauseDetector.PauseDetector(clock, (gapMs) => this.recover(gapMs));
    this.callers = this.makeCallerServer();
    this.operators = new operatorServer.OperatorServer(
      new explain.Explain(this.explainSources(), clock),
    );
    this.peers = new peerServer.PeerServer({
      exchange: (request) => this.fleet.receiveExchange(request),
      fetchTable: (request) => this.fleet.replyTable(request),
    });
    this.fleet.table.onAccepted((table) => {
      this.balancers.update(table);
      logger.info({ event: names.TABLE_VERSION, tableVersion: table.version }, 'table in force');
    });
  }

  /** The stage in the life of the daemon. Calls are served while `ready` and `draining`. */
  public get phase(): serverTypes.Phase {
    if (this.stage !== 'running') return this.stage;
    return this.fleet.isReady ? 'ready' : 'starting';
  }

  /**
   * Listens on the addresses of the settings, and begins to read the table. Calls are refused as
   * `not-ready` until a table is in force. Rejects with a `StartError`; then nothing is left open.
   */
  public async start(): Promise<void> {
    const { operatorAddress, peerAddress, callerAddress } = this.options;
    try {
      await this.listen('operatorAddress', operatorAddress, this.operators);
      await this.listen('peerAddress', peerAddress, {
        listen: () => this.peers.listen(peerAddress),
      });
      await this.listen('callerAddress', callerAddress, this.callers);
    } catch (error) {
      await this.release();
      throw error;
    }
    this.fleet.start();
    this.pauses.start();
    this.telemetry.startGauges(() => this.gauges());
    this.logger.info({ callerAddress, operatorAddress, peerAddress }, 'daemon started');
  }

  /**
   * Stops as planned: becomes unready, serves on for the lag of the platform balancer, then stops
   * accepting, finishes every call in flight and leaves the fleet. Further calls return the same
   * promise.
   */
  public stop(): Promise<void> {
    this.stopped ??= this.runStop();
    return this.stopped;
  }

  private async runStop(): Promise<void> {
    const lagMs = this.options.platformBalancerLagMs;
    this.logger.info({ lagMs }, 'daemon is about to stop, and serves until callers are moved');
    this.stage = 'draining';
    this.fleet.leave();
    await this.wait(lagMs);
    this.stage = 'stopping';
    this.logger.info({ callsInFlight: this.callers.exchangesInFlight }, 'finishing calls');
    await this.finishCalls();
    await this.release();
    this.logger.info('daemon stopped');
  }

  private async finishCalls(): Promise<void> {
    const closed = this.callers.close();
    while (this.callers.exchangesInFlight > 0) {
      // Every call ends by its deadline.
      await this.wait(10);
    }
    const timer = this.clock.setTimer(LAST_RESPONSES_MS, () => this.callers.closeNow());
    await closed;
    timer.dispose();
  }

  private async release(): Promise<void> {
    this.pauses.dispose();
    this.callers.closeNow();
    await Promise.all([this.callers.close(), this.operators.close(), this.telemetry.close()]);
    this.fleet.dispose();
    this.peers.dispose();
    this.peerClient.dispose();
    this.transport.dispose();
  }

  private wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.setTimer(durationMs, resolve);
    });
  }

  private async listen(
    setting: string,
    address: string,
    server: { listen(host: string, port: number): Promise<void> },
  ): Promise<void> {
    const { host, port } = addresses.split(address);
    try {
      await server.listen(host, port);
    } catch (error) {
      throw new StartError(setting, address, error as Error);
    }
  }

  /** Drops what may have become untrue while the process did not run. */
  private recover(gapMs: number): void {
    this.logger.warn({ event: names.PROCESS_PAUSED, gapMs }, 'process was paused');
    this.transport.distrustConnections();
    this.balancers.dropReports();
    this.fleet.onPaused(gapMs);
  }

  private makeCallerServer(): callerServer.CallerServer {
    const { fleet } = this;
    const readPhase = () => this.phase;
    return new callerServer.CallerServer({
      routes: {
        get table() {
          return fleet.table.current;
        },
        get phase() {
          return readPhase();
        },
        balancerOf: (service) => this.balancers.get(service),
      },
      coordinator: this.coordinator,
      observer: this.telemetry,
      clock: this.clock,
      beforeRequest: () => this.pauses.check(),
    });
  }

  private explainSources(): explain.IExplainSources {
    const { fleet, options, balancers, telemetry, coordinator, transport } = this;
    const readPhase = () => this.phase;
    return {
      get phase() {
        return readPhase();
      },
      get table() {
        return fleet.table.current;
      },
      get members() {
        return fleet.members.statuses.map(({ record }) => record);
      },
      get callsInFlight() {
        return coordinator.inFlight;
      },
      get callsAnswered() {
        return telemetry.answered;
      },
      peerAddress: options.peerAddress,
      failureDomain: options.failureDomain,
      policy: options.policy,
      balancers: balancers.all,
      refusals: telemetry.refusals,
      probesSent: new Map(),
      connectionsOf: (address) => transport.connectionsOf(address),
    };
  }

  private gauges(): Readonly<Record<string, number>> {
    return {
      [names.CALLS_IN_FLIGHT]: this.coordinator.inFlight,
      [names.TABLE_VERSION]: this.fleet.table.current?.version ?? 0,
      [names.DAEMON_READY]: this.phase === 'ready' ? 1 : 0,
    };
  }
}
