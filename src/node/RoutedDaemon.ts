import type * as bunyan from 'bunyan';

import * as callCoordinator from '../common/call/CallCoordinator';
import type * as callTypes from '../common/call/Types';
import * as confirmationModule from '../common/directory/Confirmation';
import * as directoryModule from '../common/directory/Directory';
import * as tableBuilder from '../common/directory/TableBuilder';
import * as emitter from '../common/Emitter';
import * as checkBudget from '../common/policy/CheckBudget';
import type * as byteBudget from '../common/memory/ByteBudget';
import * as leastInFlightPolicy from '../common/policy/LeastInFlightPolicy';
import * as subset from '../common/policy/Subset';
import * as probeBudget from '../common/probing/ProbeBudget';
import * as observedTransport from '../common/reach/ObservedTransport';
import * as serverReach from '../common/reach/ServerReach';
import * as coldServers from '../common/restraint/ColdServers';
import * as serverRestraints from '../common/restraint/ServerRestraints';
import * as splits from '../common/routing/Splits';
import * as requestSuspicion from '../common/suspicion/RequestSuspicion';
import type * as tableTypes from '../common/table/Types';
import * as linkPace from '../common/transfer/LinkPace';
import type * as types from '../common/Types';
import * as addressOpener from './AddressOpener';
import * as directoryWatcher from './directory/DirectoryWatcher';
import type * as directoryTypes from './directory/Types';
import type * as backendProtocol from './dispatch/BackendProtocol';
import * as httpTransport from './dispatch/HttpTransport';
import * as factExchange from './FactExchange';
import * as fleetShares from './FleetShares';
import type * as routedFleet from './fleet/RoutedFleet';
import * as forwardingModule from './forwarding/Forwarding';
import * as gracefulStop from './GracefulStop';
import * as bodyBudgets from './makeBodyBudget';
import * as pauseDetector from './PauseDetector';
import * as peerListener from './peer/PeerListener';
import type * as callerProtocol from './server/CallerProtocol';
import * as callerServer from './server/CallerServer';
import * as connectionLimits from './server/ConnectionLimits';
import * as pacedWriter from './server/PacedWriter';
import * as readinessServer from './server/ReadinessServer';
import type * as serverTypes from './server/Types';
import * as serviceSet from './ServiceSet';
import * as reloadedSettings from './settings/ReloadedSettings';
import * as routedSettings from './settings/RoutedSettings';
import * as daemonGauges from './telemetry/addDaemonGauges';
import * as names from './telemetry/Names';
import * as decisionLog from './telemetry/DecisionLog';

/** Hard limit on the size of request headers; the configuration sets a lower one. */
export const MAX_HEADER_BYTES = 64 * 1024;

/** Path of the metrics page on the readiness address. */
const METRICS_PATH = '/metrics';

/** Path of the page that lists the servers which get no requests, or few, on the same address. */
const RESTRAINTS_PATH = '/servers';

/** Number of distinct servers that a request must crash before it is refused. */
const SUSPICION_THRESHOLD = 3;

/** Directory source and protocols of the environment in which a daemon runs. */
export interface IRoutedDependencies {
  readonly source: directoryTypes.IDirectorySource;
  readonly callerProtocol: callerProtocol.CallerProtocol;
  readonly backendProtocol: backendProtocol.BackendProtocol;
}

/** A daemon that reads its routes and backend servers from a directory. */
export class RoutedDaemon {
  private readonly decisionLog: decisionLog.DecisionLog;

  private readonly directory: directoryModule.Directory;

  private readonly confirmation: confirmationModule.Confirmation;

  private readonly watcher: directoryWatcher.DirectoryWatcher;

  private readonly transport: httpTransport.HttpTransport;

  private readonly checkBudget: checkBudget.CheckBudget;

  private readonly coldServers: coldServers.ColdServers;

  private readonly restraints: serverRestraints.ServerRestraints;

  private readonly reach: serverReach.ServerReach;

  private readonly services: serviceSet.ServiceSet;

  private readonly coordinator: callCoordinator.CallCoordinator;

  private readonly forwarding: forwardingModule.Forwarding;

  private readonly callerServer: callerServer.CallerServer;

  private readonly readinessServer: readinessServer.ReadinessServer;

  private readonly pauseDetector: pauseDetector.PauseDetector;

  private readonly bodyBudget: byteBudget.ByteBudget;

  private readonly opener: addressOpener.AddressOpener;

  private readonly peerListener = new peerListener.PeerListener();

  private readonly tableBuilder: tableBuilder.TableBuilder;

  private readonly fleetShares: fleetShares.FleetShares;

  private readonly suspicion: requestSuspicion.RequestSuspicion;

  private fleet: routedFleet.RoutedFleet | undefined;

  private facts: factExchange.FactExchange | undefined;

  private table: tableTypes.ITable | undefined;

  private isOpenToCallers = false;

  private readonly readyEmitter = new emitter.Emitter<void>();

  private stage: 'running' | 'draining' | 'stopping' = 'running';

  private stopTimes: serverTypes.IStopTimes | undefined;

  private stopPromise: Promise<void> | undefined;

  public constructor(
    private options: routedSettings.RoutedSettings,
    private readonly dependencies: IRoutedDependencies,
    private readonly logger: bunyan,
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
  ) {
    this.decisionLog = new decisionLog.DecisionLog(logger, clock);
    this.bodyBudget = bodyBudgets.makeBodyBudget(options.memoryMb);
    this.opener = new addressOpener.AddressOpener(clock, logger);
    this.tableBuilder = new tableBuilder.TableBuilder(new splits.Splits(random));
    this.directory = new directoryModule.Directory(clock);
    this.confirmation = new confirmationModule.Confirmation(
      clock,
      () => this.options.changeDeadline,
    );
    this.watcher = new directoryWatcher.DirectoryWatcher(
      dependencies.source,
      this.directory,
      this.confirmation,
      logger,
      clock,
      random,
      () => this.fleet?.readRole ?? 'fallback',
    );
    this.transport = new httpTransport.HttpTransport(
      clock,
      random,
      dependencies.backendProtocol,
      this.bodyBudget,
      this.makeLinkPace(),
    );
    this.transport.onConnectionsCounted((counts) => this.decisionLog.recordConnections(counts));
    this.checkBudget = new checkBudget.CheckBudget(clock);
    this.coldServers = new coldServers.ColdServers(
      options.peerAddress,
      () => routedSettings.coldTermsOf(this.options),
      clock,
      random,
    );
    this.coldServers.onChanged((change) => this.decisionLog.recordCold(change));
    this.restraints = new serverRestraints.ServerRestraints(
      options.peerAddress,
      clock,
      random,
      this.coldServers,
    );
    this.transport.onSignals(({ server, signals, source, requestId }) =>
      this.restraints.record(server, signals, source, requestId),
    );
    this.restraints.onChanged((change) => this.decisionLog.recordSignal(change));
    this.reach = new serverReach.ServerReach(clock);
    this.reach.onChanged((change) => this.decisionLog.recordReach(change));
    const observed = new observedTransport.ObservedTransport(this.transport, this.reach);
    this.services = new serviceSet.ServiceSet(
      options.peerAddress,
      () => new leastInFlightPolicy.LeastInFlightPolicy(random),
      new probeBudget.ProbeBudget(clock),
      observed,
      clock,
      {
        checker: observed,
        budget: this.checkBudget,
        random,
        failureDomain: options.failureDomain,
        rankOf: (address) => subset.rendezvousRank(options.peerAddress, address),
        onceHeard: (callback) => this.reach.onceHeard(callback),
      },
      this.restraints,
    );
    this.suspicion = new requestSuspicion.RequestSuspicion(clock, SUSPICION_THRESHOLD);
    this.suspicion.onChanged((change) => this.decisionLog.recordSuspicion(change));
    this.coordinator = new callCoordinator.CallCoordinator(
      observed,
      this.suspicion,
      clock,
      this.decisionLog,
    );
    this.forwarding = this.makeForwarding(observed);
    this.pauseDetector = new pauseDetector.PauseDetector(
      clock,
      (gapMs) => this.resetAfterPause(gapMs),
      (delayMs) => this.decisionLog.recordDelay(delayMs),
    );
    this.callerServer = this.makeCallerServer();
    this.setCallerLimits();
    this.readinessServer = new readinessServer.ReadinessServer(
      options.readinessPath,
      () => this.phase === 'ready',
      new Map([
        [METRICS_PATH, () => this.decisionLog.metrics()],
        [RESTRAINTS_PATH, async () => JSON.stringify(this.listRestrained())],
      ]),
    );
    this.directory.onChanged(() => this.applyDirectory());
    this.directory.onProblem((problem) =>
      logger.error(
        { event: names.DIRECTORY_PROBLEM, ...problem },
        'invalid directory item ignored',
      ),
    );
    this.fleetShares = this.makeFleetShares();
    this.fleetShares.start();
    daemonGauges.addDaemonGauges(this.decisionLog, {
      coordinator: this.coordinator,
      directory: this.directory,
      watcher: this.watcher,
      isReady: () => this.phase === 'ready',
      countDaemons: () => this.fleetShares.daemonCount,
      countLimitedServers: () => this.restraints.limitedCount,
      countColdServers: () => this.coldServers.count,
      countUnreachableServices: () => this.reach.lostServices.length,
      countSuspectRequests: () => this.suspicion.suspectCount,
      countConnections: () => this.callerServer.connectionCount,
      countWaitingCalls: () => this.services.waitingCalls,
      budget: this.bodyBudget,
      connections: this.transport.connectionCounts,
    });
  }

  /** Lifecycle phase. Calls are served while `ready` and `draining`. */
  public get phase(): serverTypes.Phase {
    if (this.stage !== 'running') return this.stage;
    return this.table === undefined || !this.isOpenToCallers ? 'starting' : 'ready';
  }

  /** Time that a graceful stop takes at most, in milliseconds. */
  public get stopGrace(): number {
    return this.options.stopGrace;
  }

  /** Number of requests of callers without a response. */
  public get exchangesInFlight(): number {
    return this.callerServer.exchangesInFlight;
  }

  /**
   * Starts watching the directory, listens on all addresses in the settings and joins the fleet.
   * Calls are refused as `not-ready` until a configuration is active. Rejects with a `StartError`
   * after closing what was opened.
   */
  public async start(): Promise<void> {
    try {
      await this.open();
    } catch (error) {
      this.stage = 'stopping';
      await this.release();
      throw error;
    }
  }

  private async open(): Promise<void> {
    const { callerAddress, peerAddress, readinessAddress, failureDomain } = this.options;
    this.watcher.start();
    const isOpen =
      (await this.opener.open('readinessAddress', readinessAddress, this.readinessServer)) &&
      (await this.opener.open('peerAddress', peerAddress, this.peerListener)) &&
      (await this.opener.open('callerAddress', callerAddress, this.callerServer));
    if (!isOpen) return;
    this.isOpenToCallers = true;
    this.pauseDetector.start();
    this.logger.info({ callerAddress, failureDomain }, 'daemon started');
    await this.joinFleet();
  }

  /** Joins the fleet after callers can be served, since loading its modules takes a while. */
  private async joinFleet(): Promise<void> {
    // Node.js needs the file extension to load the compiled module.
    // eslint-disable-next-line import-x/extensions
    const { RoutedFleet } = await import('./fleet/RoutedFleet.js');
    if (this.stage !== 'running') {
      this.peerListener.dispose();
      return;
    }
    const fleet = new RoutedFleet(
      this.options,
      this.directory,
      this.confirmation,
      this.logger,
      this.clock,
      this.random,
      this.forwarding.handler,
    );
    this.fleet = fleet;
    this.facts = new factExchange.FactExchange(
      fleet.facts,
      fleet.members,
      this.services,
      this.suspicion,
      this.clock,
      this.restraints,
    );
    this.peerListener.handOver((socket) => fleet.receive(socket));
    fleet.start();
    this.facts.start();
  }

  /** Applies changed settings, except those that require a restart. */
  public reload(loaded: routedSettings.RoutedSettings): void {
    const { settings, applied, deferred } = reloadedSettings.mergeReloaded(this.options, loaded);
    this.options = settings;
    this.logger.info({ event: names.SETTINGS_RELOADED, applied, deferred }, 'settings reloaded');
    if (applied.length === 0) return;
    this.fleet?.setSeedPeers(settings.seedPeers);
    this.setCallerLimits();
    this.applyDirectory();
    if (applied.includes('directoryUrl')) this.watcher.restart();
  }

  /** Shuts down gracefully within the grace period of the settings. */
  public stop(): Promise<void> {
    this.stopPromise ??= this.runStop();
    return this.stopPromise;
  }

  private async runStop(): Promise<void> {
    const { stopGrace } = this.options;
    const stop = new gracefulStop.GracefulStop(stopGrace, this.stoppingParts(), this.clock);
    this.stopTimes = stop.times;
    await stop.run();
    this.logger.info('daemon stopped');
  }

  private stoppingParts(): gracefulStop.IStoppingParts {
    const { callerServer: server, forwarding, fleet } = this;
    return {
      beginDraining: () => this.beginDraining(),
      closeToCallers: () => this.closeToCallers(),
      get isBusy() {
        return server.expectsRequests || server.exchangesInFlight + forwarding.handler.inFlight > 0;
      },
      endRequests: () => this.endRequests(),
      get hasUnsentBytes() {
        return server.hasUnsentBytes || fleet?.hasUnsentReplies === true;
      },
      release: () => this.release(),
      onStepFailed: (error) => this.logger.error({ err: error }, 'a step of the stop failed'),
    };
  }

  private beginDraining(): void {
    this.stage = 'draining';
    this.opener.dispose();
    this.fleet?.leave();
    this.logger.info(
      { stopGrace: this.options.stopGrace },
      'shutdown started, serving until the platform balancer moves callers away',
    );
  }

  private closeToCallers(): Promise<void> {
    this.stage = 'stopping';
    this.logger.info(
      { callsInFlight: this.coordinator.inFlight },
      'waiting for calls in flight to finish',
    );
    return this.callerServer.close();
  }

  private endRequests(): void {
    this.callerServer.endForStop();
    this.peerListener.dispose();
    this.fleet?.finishReplies();
  }

  private async release(): Promise<void> {
    this.opener.dispose();
    this.pauseDetector.dispose();
    this.forwarding.dispose();
    this.fleetShares.dispose();
    this.coldServers.dispose();
    this.facts?.dispose();
    this.peerListener.dispose();
    this.fleet?.dispose();
    this.watcher.dispose();
    this.directory.dispose();
    await Promise.all([this.callerServer.closeNow(), this.readinessServer.close()]);
    this.transport.dispose();
  }

  private applyDirectory(): void {
    const { configuration, servers, revision, evacuatedDomains } = this.directory;
    if (configuration === undefined) return;
    const previousVersion = this.table?.routes?.configurationVersion;
    this.table = this.tableBuilder.build(
      configuration,
      servers,
      revision,
      {
        maxDaemons: this.fleetShares.daemonCount,
        retryFraction: this.options.retryFraction,
        checksPerSecond: this.options.checksPerSecond,
      },
      evacuatedDomains,
    );
    this.decisionLog.recordEvacuations(evacuatedDomains, servers);
    const terms = new Map(configuration.services.map((service) => [service.name, service]));
    this.coldServers.recordRegistrations(
      servers,
      (service) => terms.get(service)?.coldRequestsPerSecond,
    );
    this.checkBudget.setRate(this.options.checksPerSecond * servers.length, this.table.maxDaemons);
    this.services.update(this.table);
    this.forwarding.update();
    const { headerTimeoutMs, idleTimeoutMs } = configuration.limits;
    this.callerServer.setTimeouts(headerTimeoutMs, idleTimeoutMs);
    const fields = {
      event: names.TABLE_VERSION,
      configurationVersion: configuration.version,
      revision,
      servers: servers.length,
      // Time since the directory was last known to be up to date.
      confirmedMs: Math.round(this.confirmation.ageMs),
    };
    if (previousVersion === undefined) this.readyEmitter.fire();
    if (previousVersion === configuration.version) this.logger.debug(fields, 'servers changed');
    else this.logger.info(fields, 'configuration activated');
  }

  /** Lists the servers that get no requests, or few, as the operators read them. */
  private listRestrained(): readonly object[] {
    const cold = this.coldServers.statuses.map((status) => ({ ...status, restraint: 'cold' }));
    return [...this.restraints.restrained, ...cold];
  }

  private makeFleetShares(): fleetShares.FleetShares {
    const readTable = () => this.table;
    const limits: fleetShares.ISharedLimits = {
      get appliedDaemonCount() {
        return readTable()?.maxDaemons;
      },
      divideServerLimits: (areMembersKnown) => {
        const daemons = this.fleet?.runningDaemons;
        this.restraints.setDaemons(
          areMembersKnown ? daemons : undefined,
          this.fleetShares.daemonCount,
        );
        this.coldServers.setMembers(daemons ?? [], this.options.seedPeers);
      },
      setRetryReserve: (maxTokens, tokensPerSecond) =>
        this.services.setRetryReserve(maxTokens, tokensPerSecond),
      redistributeServers: () => this.applyDirectory(),
    };
    const countMembers = () => this.fleet?.members.count ?? 0;
    const readOptions = () => this.options;
    return new fleetShares.FleetShares(readOptions, countMembers, limits, this.clock, this.random);
  }

  /** Discards state that may be stale after a pause of the process. */
  private resetAfterPause(gapMs: number): void {
    this.logger.warn({ event: names.PROCESS_PAUSED, gapMs }, 'process was paused');
    this.transport.retireConnections();
    this.services.dropReports();
    this.reach.resetAfterPause();
    this.confirmation.reset();
    this.fleet?.onPaused();
    this.watcher.restart();
  }

  private makeForwarding(checker: callTypes.IServerChecker): forwardingModule.Forwarding {
    const { peerAddress: address, failureDomain } = this.options;
    const readTable = () => this.table;
    const readPhase = () => this.phase;
    return new forwardingModule.Forwarding({
      own: { address, failureDomain },
      daemonState: {
        get table() {
          return readTable();
        },
        get phase() {
          return readPhase();
        },
      },
      services: this.services,
      coordinator: this.coordinator,
      reach: this.reach,
      checker,
      takeCheckPermit: () => this.checkBudget.take(),
      readFleet: () => this.fleet,
      observer: this.decisionLog,
      clock: this.clock,
      random: this.random,
    });
  }

  private setCallerLimits(): void {
    const { maxDescriptors, connectionsPerClient, answerReadTimeout } = this.options;
    this.callerServer.setLimits({
      connections: connectionLimits.connectionsFor(maxDescriptors ?? undefined),
      perClient: connectionsPerClient ?? undefined,
      answerReadMs: answerReadTimeout,
    });
  }

  /** Makes the pace of large bodies in one direction of the link. */
  private makeLinkPace(): linkPace.LinkPace {
    return new linkPace.LinkPace(() => this.options.linkMegabitsPerSecond ?? undefined, this.clock);
  }

  private makeCallerServer(): callerServer.CallerServer {
    const readTable = () => this.table;
    const readPhase = () => this.phase;
    const readStopTimes = () => this.stopTimes;
    return new callerServer.CallerServer(
      {
        daemonState: {
          get table() {
            return readTable();
          },
          get phase() {
            return readPhase();
          },
          get stopTimes() {
            return readStopTimes();
          },
          onReady: this.readyEmitter.event,
        },
        protocol: this.dependencies.callerProtocol,
        runner: {
          start: (call, _key, onOutcome) => this.forwarding.start(call, onOutcome),
          refuse: (_key, _service, refusal) => Promise.resolve(refusal),
        },
        observer: this.decisionLog,
        clock: this.clock,
        budget: this.bodyBudget,
        onConnectionClosed: (closure) => this.decisionLog.recordClosure(closure),
        writer: new pacedWriter.PacedWriter(this.makeLinkPace(), this.clock),
        beforeRequest: () => this.pauseDetector.check(),
      },
      MAX_HEADER_BYTES,
    );
  }
}
