import type * as bunyan from 'bunyan';

import * as callCoordinator from '../common/call/CallCoordinator';
import type * as callTypes from '../common/call/Types';
import * as policyFactory from '../common/policy/PolicyFactory';
import type * as selectionPolicy from '../common/policy/SelectionPolicy';
import * as probeBudget from '../common/probing/ProbeBudget';
import * as requestSuspicion from '../common/suspicion/RequestSuspicion';
import type * as tableTypes from '../common/table/Types';
import type * as types from '../common/Types';
import * as callRunner from './CallRunner';
import * as httpTransport from './dispatch/HttpTransport';
import * as factExchange from './FactExchange';
import * as fleetModule from './fleet/Fleet';
import * as pauseDetector from './PauseDetector';
import * as peerClient from './peer/PeerClient';
import * as peerServer from './peer/PeerServer';
import * as requestKeys from './RequestKeys';
import * as callerServer from './server/CallerServer';
import * as explain from './server/Explain';
import * as ownCallerProtocol from './server/OwnCallerProtocol';
import * as operatorServer from './server/OperatorServer';
import type * as serverTypes from './server/Types';
import * as serviceSet from './ServiceSet';
import type * as settings from './settings/Settings';
import * as startError from './StartError';
import * as makeTelemetry from './telemetry/MakeTelemetry';
import * as names from './telemetry/Names';
import * as observedTransport from './telemetry/ObservedTransport';
import * as telemetryModule from './telemetry/Telemetry';

/** Time for callers to take the last responses, in milliseconds. */
const LAST_RESPONSES_MS = 5_000;

/** Interval between two looks at the calls that a stop waits for, in milliseconds. */
const FINISH_INTERVAL_MS = 10;

/** Time for peers to learn where the request keys went, in milliseconds. */
const FAREWELL_MS = 200;

/** One process of the fleet, composed of its services. */
export class Daemon {
  private readonly telemetry: telemetryModule.Telemetry;

  private readonly fleet: fleetModule.Fleet;

  private readonly transport: httpTransport.HttpTransport;

  private readonly probes: probeBudget.ProbeBudget;

  private readonly services: serviceSet.ServiceSet;

  private readonly facts: factExchange.FactExchange;

  private readonly keys: requestKeys.RequestKeys;

  private readonly runner: callRunner.CallRunner;

  private readonly pauses: pauseDetector.PauseDetector;

  private readonly callers: callerServer.CallerServer;

  private readonly operators: operatorServer.OperatorServer;

  private readonly peers: peerServer.PeerServer;

  private readonly peerClient = new peerClient.PeerClient();

  private stage: 'running' | 'draining' | 'stopping' = 'running';

  private stopped: Promise<void> | undefined;

  public constructor(
    private readonly options: settings.Settings,
    private readonly logger: bunyan,
    private readonly clock: types.IClock,
    random: types.IRandom,
    makePolicy: () => selectionPolicy.SelectionPolicy = () =>
      policyFactory.createPolicy(options.policy, random),
  ) {
    const { metrics, traces } = makeTelemetry.makeExporters(options, logger, clock, random);
    this.telemetry = new telemetryModule.Telemetry(logger, clock, metrics, traces);
    const fleet = new fleetModule.Fleet(options, this.peerClient, logger, clock, random);
    this.fleet = fleet;
    this.transport = new httpTransport.HttpTransport(clock, random);
    const isObserved = metrics !== undefined || traces !== undefined;
    const transport: callTypes.IBackendTransport = isObserved
      ? new observedTransport.ObservedTransport(this.transport, metrics, traces, clock)
      : this.transport;
    this.probes = new probeBudget.ProbeBudget(clock);
    this.services = new serviceSet.ServiceSet(
      options.peerAddress,
      makePolicy,
      this.probes,
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
    this.keys = new requestKeys.RequestKeys(view, this.peerClient, logger, clock, random);
    const coordinator = new callCoordinator.CallCoordinator(transport, suspicion, clock);
    this.runner = new callRunner.CallRunner(coordinator, this.services, this.keys.gateway, clock);
    this.pauses = new pauseDetector.PauseDetector(clock, (gapMs) => this.recover(gapMs));
    this.callers = this.makeCallerServer();
    const answers = new explain.Explain(() => this.explainState(), clock);
    this.operators = new operatorServer.OperatorServer(answers);
    this.peers = new peerServer.PeerServer(
      {
        exchange: (request) => fleet.receiveExchange(request),
        fetchTable: (request) => fleet.replyTable(request),
      },
      this.keys.peerHandler,
    );
    fleet.table.onAccepted((table) => this.applyTable(table));
    members.onChanged(() => this.probes.setMemberCount(members.count));
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
      await startError.listen('operatorAddress', operatorAddress, this.operators);
      await startError.listen('peerAddress', peerAddress, {
        listen: () => this.peers.listen(peerAddress),
      });
      await startError.listen('callerAddress', callerAddress, this.callers);
    } catch (error) {
      await this.release();
      throw error;
    }
    this.fleet.start();
    this.facts.start();
    this.pauses.start();
    this.telemetry.startGauges(() => this.gauges());
    this.logger.info({ callerAddress, operatorAddress, peerAddress }, 'daemon started');
  }

  /**
   * Stops as planned: becomes unready, serves on for the lag of the platform balancer, then stops
   * accepting, finishes every call in flight, hands over the request keys and leaves the fleet.
   * Further calls return the same promise.
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
    this.logger.info({ callsInFlight: this.runner.inFlight }, 'finishing calls');
    await this.finishCalls();
    await this.keys.leave();
    await this.wait(FAREWELL_MS);
    await this.release();
    this.logger.info('daemon stopped');
  }

  private async finishCalls(): Promise<void> {
    const closed = this.callers.close();
    while (this.callers.exchangesInFlight > 0 || this.runner.inFlight > 0) {
      // Every call ends by its deadline.
      await this.wait(FINISH_INTERVAL_MS);
    }
    const timer = this.clock.setTimer(LAST_RESPONSES_MS, () => this.callers.closeNow());
    await closed;
    timer.dispose();
  }

  private async release(): Promise<void> {
    this.pauses.dispose();
    this.facts.dispose();
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

  private applyTable(table: tableTypes.ITable): void {
    this.probes.applyTable(table);
    this.services.update(table);
    const fields = { event: names.TABLE_VERSION, tableVersion: table.version };
    this.logger.info(fields, 'table in force');
  }

  /** Drops what may have become untrue while the process did not run. */
  private recover(gapMs: number): void {
    this.logger.warn({ event: names.PROCESS_PAUSED, gapMs }, 'process was paused');
    this.probes.onPaused();
    this.transport.distrustConnections();
    this.services.dropReports();
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
      },
      protocol: new ownCallerProtocol.OwnCallerProtocol(),
      runner: this.runner,
      observer: this.telemetry,
      clock: this.clock,
      beforeRequest: () => this.pauses.check(),
      issueKeys: (count) => this.keys.issue(count),
    });
  }

  private explainState(): explain.IExplainState {
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
      probes: this.probes.usage,
      probeStop: this.probes.stopReason,
      keyClaims: this.keys.claimCount,
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
