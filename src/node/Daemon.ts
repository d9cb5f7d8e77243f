import type * as bunyan from 'bunyan';

import * as callCoordinator from '../common/call/CallCoordinator';
import type * as callTypes from '../common/call/Types';
import * as policyFactory from '../common/policy/PolicyFactory';
import type * as selectionPolicy from '../common/policy/SelectionPolicy';
import * as probeBudget from '../common/probing/ProbeBudget';
import * as requestSuspicion from '../common/suspicion/RequestSuspicion';
import type * as tableTypes from '../common/table/Types';
import type * as types from '../common/Types';
import * as addressOpener from './AddressOpener';
import * as callRunner from './CallRunner';
import * as httpTransport from './dispatch/HttpTransport';
import * as factExchange from './FactExchange';
import * as fleetModule from './fleet/Fleet';
import * as bodyBudgets from './makeBodyBudget';
import * as pauseDetector from './PauseDetector';
import * as peerClient from './peer/PeerClient';
import * as peerServer from './peer/PeerServer';
import * as requestKeys from './RequestKeys';
import * as callerServer from './server/CallerServer';
import * as diagnostics from './server/Diagnostics';
import * as defaultCallerProtocol from './server/DefaultCallerProtocol';
import * as operatorServer from './server/OperatorServer';
import type * as serverTypes from './server/Types';
import * as serviceSet from './ServiceSet';
import type * as settings from './settings/Settings';
import * as makeExporters from './telemetry/MakeExporters';
import * as names from './telemetry/Names';
import * as instrumentedTransport from './telemetry/InstrumentedTransport';
import * as telemetryModule from './telemetry/Telemetry';

/** Time for callers to receive the last responses during shutdown, in milliseconds. */
const RESPONSE_FLUSH_TIMEOUT_MS = 5_000;

/** Interval between checks for calls in flight during shutdown, in milliseconds. */
const DRAIN_CHECK_INTERVAL_MS = 10;

/** Time for peers to learn which daemon took over the request keys, in milliseconds. */
const LEAVE_PROPAGATION_MS = 200;

/** One daemon of the fleet. Creates and connects its components. */
export class Daemon {
  private readonly telemetry: telemetryModule.Telemetry;

  private readonly fleet: fleetModule.Fleet;

  private readonly transport: httpTransport.HttpTransport;

  private readonly probeBudget: probeBudget.ProbeBudget;

  private readonly services: serviceSet.ServiceSet;

  private readonly facts: factExchange.FactExchange;

  private readonly requestKeys: requestKeys.RequestKeys;

  private readonly runner: callRunner.CallRunner;

  private readonly pauseDetector: pauseDetector.PauseDetector;

  private readonly bodyBudget = bodyBudgets.makeBodyBudget();

  private readonly opener: addressOpener.AddressOpener;

  private readonly callerServer: callerServer.CallerServer;

  private readonly operatorServer: operatorServer.OperatorServer;

  private readonly peerServer: peerServer.PeerServer;

  private readonly peerClient = new peerClient.PeerClient();

  private stage: 'running' | 'draining' | 'stopping' = 'running';

  private stopPromise: Promise<void> | undefined;

  public constructor(
    private readonly options: settings.Settings,
    private readonly logger: bunyan,
    private readonly clock: types.IClock,
    random: types.IRandom,
    makePolicy: () => selectionPolicy.SelectionPolicy = () =>
      policyFactory.createPolicy(options.policy, random),
  ) {
    const { metrics, traces } = makeExporters.makeExporters(options, logger, clock, random);
    this.telemetry = new telemetryModule.Telemetry(logger, clock, metrics, traces);
    const fleet = new fleetModule.Fleet(options, this.peerClient, logger, clock, random);
    this.fleet = fleet;
    this.transport = new httpTransport.HttpTransport(clock, random, undefined, this.bodyBudget);
    const isObserved = metrics !== undefined || traces !== undefined;
    const transport: callTypes.IBackendTransport = isObserved
      ? new instrumentedTransport.InstrumentedTransport(this.transport, metrics, traces, clock)
      : this.transport;
    this.probeBudget = new probeBudget.ProbeBudget(clock);
    this.services = new serviceSet.ServiceSet(
      options.peerAddress,
      makePolicy,
      this.probeBudget,
      transport,
      clock,
    );
    const suspicion = new requestSuspicion.RequestSuspicion(clock);
    this.facts = new factExchange.FactExchange(
      fleet.facts,
      fleet.members,
      this.services,
      suspicion,
      clock,
    );
    const { peerAddress: address } = options;
    const { incarnation, members, facts } = fleet;
    const view = { address, incarnation, members, facts };
    this.requestKeys = new requestKeys.RequestKeys(view, this.peerClient, logger, clock, random);
    const coordinator = new callCoordinator.CallCoordinator(transport, suspicion, clock);
    this.runner = new callRunner.CallRunner(
      coordinator,
      this.services,
      this.requestKeys.gateway,
      clock,
    );
    this.opener = new addressOpener.AddressOpener(clock, logger);
    this.pauseDetector = new pauseDetector.PauseDetector(clock, (gapMs) =>
      this.resetAfterPause(gapMs),
    );
    this.callerServer = this.makeCallerServer();
    const daemonDiagnostics = new diagnostics.Diagnostics(() => this.diagnosticsState(), clock);
    this.operatorServer = new operatorServer.OperatorServer(daemonDiagnostics);
    this.peerServer = new peerServer.PeerServer(
      {
        exchange: (request) => fleet.receiveExchange(request),
        fetchTable: (request) => fleet.replyTable(request),
      },
      this.requestKeys.peerHandler,
    );
    fleet.table.onAccepted((table) => this.applyTable(table));
    members.onChanged(() => this.probeBudget.setMemberCount(members.count));
  }

  /** Lifecycle phase. Calls are served while `ready` and `draining`. */
  public get phase(): serverTypes.Phase {
    if (this.stage !== 'running') return this.stage;
    return this.fleet.isReady ? 'ready' : 'starting';
  }

  /**
   * Listens on the addresses in the settings and starts reading the table. Calls are refused as
   * `not-ready` until a table is active, and the configuration service and up to three peers have
   * been asked for theirs. Rejects with a `StartError` after closing what was opened.
   */
  public async start(): Promise<void> {
    try {
      if (!(await this.openAddresses())) return;
    } catch (error) {
      await this.release();
      throw error;
    }
    this.fleet.start();
    this.facts.start();
    this.pauseDetector.start();
    this.telemetry.startGauges(() => this.gauges());
    const { operatorAddress, peerAddress, callerAddress } = this.options;
    this.logger.info({ callerAddress, operatorAddress, peerAddress }, 'daemon started');
  }

  /** Returns whether all addresses are open; they are not if the daemon is stopped meanwhile. */
  private async openAddresses(): Promise<boolean> {
    const { operatorAddress, peerAddress, callerAddress } = this.options;
    const { opener } = this;
    const peers = { listen: () => this.peerServer.listen(peerAddress) };
    return (
      (await opener.open('operatorAddress', operatorAddress, this.operatorServer)) &&
      (await opener.open('peerAddress', peerAddress, peers)) &&
      opener.open('callerAddress', callerAddress, this.callerServer)
    );
  }

  /**
   * Shuts down gracefully: becomes unready, keeps serving for the lag of the platform balancer,
   * stops accepting connections, finishes every call in flight, hands over the request keys and
   * leaves the fleet. Repeated calls return the same promise.
   */
  public stop(): Promise<void> {
    this.stopPromise ??= this.runStop();
    return this.stopPromise;
  }

  private async runStop(): Promise<void> {
    const lagMs = this.options.platformBalancerLagMs;
    this.logger.info(
      { lagMs },
      'shutdown started, serving until the platform balancer moves callers away',
    );
    this.stage = 'draining';
    this.opener.dispose();
    this.fleet.leave();
    await this.wait(lagMs);
    this.stage = 'stopping';
    this.logger.info(
      { callsInFlight: this.runner.inFlight },
      'waiting for calls in flight to finish',
    );
    await this.finishCalls();
    await this.requestKeys.leave();
    await this.wait(LEAVE_PROPAGATION_MS);
    await this.release();
    this.logger.info('daemon stopped');
  }

  private async finishCalls(): Promise<void> {
    const closed = this.callerServer.close();
    const { callerServer: server, runner } = this;
    while (server.expectsRequests || server.exchangesInFlight > 0 || runner.inFlight > 0) {
      // This ends, since every call ends by its deadline.
      await this.wait(DRAIN_CHECK_INTERVAL_MS);
    }
    const timer = this.clock.setTimer(RESPONSE_FLUSH_TIMEOUT_MS, () =>
      this.callerServer.closeNow(),
    );
    await closed;
    timer.dispose();
  }

  private async release(): Promise<void> {
    this.opener.dispose();
    this.pauseDetector.dispose();
    this.facts.dispose();
    this.callerServer.closeNow();
    await Promise.all([
      this.callerServer.close(),
      this.operatorServer.close(),
      this.telemetry.close(),
    ]);
    this.fleet.dispose();
    this.peerServer.dispose();
    this.peerClient.dispose();
    this.transport.dispose();
  }

  private wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.setTimer(durationMs, resolve);
    });
  }

  private applyTable(table: tableTypes.ITable): void {
    this.probeBudget.applyTable(table);
    this.services.update(table);
    const fields = { event: names.TABLE_VERSION, tableVersion: table.version };
    this.logger.info(fields, 'table activated');
  }

  /** Discards state that may be stale after a pause of the process. */
  private resetAfterPause(gapMs: number): void {
    this.logger.warn({ event: names.PROCESS_PAUSED, gapMs }, 'process was paused');
    this.probeBudget.onPaused();
    this.transport.retireConnections();
    this.services.dropReports();
    this.fleet.onPaused(gapMs);
  }

  private makeCallerServer(): callerServer.CallerServer {
    const { fleet } = this;
    const readPhase = () => this.phase;
    return new callerServer.CallerServer({
      daemonState: {
        get table() {
          return fleet.table.current;
        },
        get phase() {
          return readPhase();
        },
      },
      protocol: new defaultCallerProtocol.DefaultCallerProtocol(),
      runner: this.runner,
      observer: this.telemetry,
      clock: this.clock,
      budget: this.bodyBudget,
      beforeRequest: () => this.pauseDetector.check(),
      issueKeys: (count) => this.requestKeys.issue(count),
    });
  }

  private diagnosticsState(): diagnostics.IDiagnosticsState {
    return {
      phase: this.phase,
      peerAddress: this.options.peerAddress,
      failureDomain: this.options.failureDomain,
      policy: this.options.policy,
      table: this.fleet.table.current,
      fleet: this.fleet.status,
      balancers: this.services.balancers,
      refusals: this.telemetry.refusals,
      callsInFlight: this.runner.inFlight,
      callsAnswered: this.telemetry.answered,
      probes: this.probeBudget.usage,
      probeStop: this.probeBudget.stopReason,
      keyClaims: this.requestKeys.claimCount,
      connectionsOf: (address) => this.transport.connectionsOf(address),
    };
  }

  private gauges(): Readonly<Record<string, number>> {
    return {
      [names.CALLS_IN_FLIGHT]: this.runner.inFlight,
      [names.TABLE_VERSION]: this.fleet.table.current?.version ?? 0,
      [names.DAEMON_READY]: this.phase === 'ready' ? 1 : 0,
    };
  }
}
