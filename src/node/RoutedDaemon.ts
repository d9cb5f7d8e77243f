import type * as bunyan from 'bunyan';

import * as callCoordinator from '../common/call/CallCoordinator';
import * as confirmationModule from '../common/directory/Confirmation';
import * as directoryModule from '../common/directory/Directory';
import * as tableBuilder from '../common/directory/TableBuilder';
import * as checkBudget from '../common/policy/CheckBudget';
import * as leastInFlightPolicy from '../common/policy/LeastInFlightPolicy';
import * as subset from '../common/policy/Subset';
import * as probeBudget from '../common/probing/ProbeBudget';
import * as weightedSplit from '../common/routing/WeightedSplit';
import * as requestSuspicion from '../common/suspicion/RequestSuspicion';
import type * as tableTypes from '../common/table/Types';
import type * as types from '../common/Types';
import * as directoryFollower from './directory/DirectoryFollower';
import type * as directoryTypes from './directory/Types';
import type * as backendProtocol from './dispatch/BackendProtocol';
import * as httpTransport from './dispatch/HttpTransport';
import * as factExchange from './FactExchange';
import * as fleetShares from './FleetShares';
import type * as routedFleet from './fleet/RoutedFleet';
import * as pauseDetector from './PauseDetector';
import type * as callerProtocol from './server/CallerProtocol';
import * as callerServer from './server/CallerServer';
import * as readinessServer from './server/ReadinessServer';
import type * as serverTypes from './server/Types';
import * as serviceSet from './ServiceSet';
import * as reloadedSettings from './settings/ReloadedSettings';
import type * as routedSettings from './settings/RoutedSettings';
import * as startCall from './startCall';
import * as startError from './StartError';
import * as daemonGauges from './telemetry/addDaemonGauges';
import * as names from './telemetry/Names';
import * as decisionLog from './telemetry/DecisionLog';

/** Size above which the headers of a request are not read; the configuration sets a lower limit. */
const MAX_HEADER_BYTES = 64 * 1024;

/** Path of the metrics on the readiness address. */
const METRICS_PATH = '/metrics';

/** Share of the time for a stop in which new connections are still served. */
const SERVE_SHARE = 0.55;

/** Time at the end of a stop that is left to close what is open, in milliseconds. */
const STOP_RESERVE_MS = 300;

/** Interval between two looks at the calls that a stop waits for, in milliseconds. */
const FINISH_INTERVAL_MS = 20;

/** Distinct servers that a request must have crashed before it is refused. */
const CRASHES_TO_REFUSE = 3;

/** What connects a daemon to its surroundings. */
export interface IRoutedParts {
  readonly source: directoryTypes.IDirectorySource;
  readonly callerProtocol: callerProtocol.CallerProtocol;
  readonly backendProtocol: backendProtocol.BackendProtocol;
}

/** A daemon whose routes and backend servers come from a directory. */
export class RoutedDaemon {
  private readonly decisions: decisionLog.DecisionLog;

  private readonly directory: directoryModule.Directory;

  private readonly confirmation: confirmationModule.Confirmation;

  private readonly follower: directoryFollower.DirectoryFollower;

  private readonly transport: httpTransport.HttpTransport;

  private readonly checks: checkBudget.CheckBudget;

  private readonly services: serviceSet.ServiceSet;

  private readonly coordinator: callCoordinator.CallCoordinator;

  private readonly callers: callerServer.CallerServer;

  private readonly readiness: readinessServer.ReadinessServer;

  private readonly pauses: pauseDetector.PauseDetector;

  private readonly tables: tableBuilder.TableBuilder;

  private readonly shares: fleetShares.FleetShares;

  private readonly suspicion: requestSuspicion.RequestSuspicion;

  private fleet: routedFleet.RoutedFleet | undefined;

  private facts: factExchange.FactExchange | undefined;

  private table: tableTypes.ITable | undefined;

  private stage: 'running' | 'draining' | 'stopping' = 'running';

  private stopped: Promise<void> | undefined;

  public constructor(
    private options: routedSettings.RoutedSettings,
    private readonly parts: IRoutedParts,
    private readonly logger: bunyan,
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
  ) {
    this.decisions = new decisionLog.DecisionLog(logger, clock);
    this.tables = new tableBuilder.TableBuilder(new weightedSplit.SplitStates(random));
    this.directory = new directoryModule.Directory(clock);
    this.confirmation = new confirmationModule.Confirmation(clock);
    this.follower = new directoryFollower.DirectoryFollower(
      parts.source,
      this.directory,
      this.confirmation,
      logger,
      clock,
      random,
      () => this.fleet?.mustRead ?? true,
    );
    this.transport = new httpTransport.HttpTransport(clock, random, parts.backendProtocol);
    this.checks = new checkBudget.CheckBudget(clock);
    this.services = new serviceSet.ServiceSet(
      options.peerAddress,
      () => new leastInFlightPolicy.LeastInFlightPolicy(random),
      new probeBudget.ProbeBudget(clock),
      this.transport,
      clock,
      {
        checker: this.transport,
        budget: this.checks,
        random,
        failureDomain: options.failureDomain,
        rankOf: (address) => subset.rankAt(options.peerAddress, address),
      },
    );
    this.suspicion = new requestSuspicion.RequestSuspicion(clock, CRASHES_TO_REFUSE);
    this.coordinator = new callCoordinator.CallCoordinator(
      this.transport,
      this.suspicion,
      clock,
      this.decisions,
    );
    this.pauses = new pauseDetector.PauseDetector(clock, (gapMs) => this.recover(gapMs));
    this.callers = this.makeCallerServer();
    this.readiness = new readinessServer.ReadinessServer(
      options.readinessPath,
      () => this.phase === 'ready',
      new Map([[METRICS_PATH, () => this.decisions.metrics()]]),
    );
    this.directory.onChanged(() => this.applyDirectory());
    this.directory.onProblem((problem) =>
      logger.error({ event: names.DIRECTORY_PROBLEM, ...problem }, 'directory item not used'),
    );
    this.shares = this.makeShares();
    this.shares.start();
    daemonGauges.addDaemonGauges(this.decisions, {
      coordinator: this.coordinator,
      directory: this.directory,
      follower: this.follower,
      isReady: () => this.phase === 'ready',
      countDaemons: () => this.shares.daemonCount,
    });
  }

  /** The stage in the life of the daemon. Calls are served while `ready` and `draining`. */
  public get phase(): serverTypes.Phase {
    if (this.stage !== 'running') return this.stage;
    return this.table === undefined ? 'starting' : 'ready';
  }

  /**
   * Listens on the addresses of the settings, and begins to follow the directory. Calls are refused
   * as `not-ready` until a configuration is in force. Rejects with a `StartError`.
   */
  public async start(): Promise<void> {
    const { callerAddress, readinessAddress, failureDomain } = this.options;
    this.follower.start();
    await startError.listen('readinessAddress', readinessAddress, this.readiness);
    await startError.listen('callerAddress', callerAddress, this.callers);
    this.pauses.start();
    this.logger.info({ callerAddress, failureDomain }, 'daemon started');
    await this.joinFleet();
  }

  /** The modules of the fleet are loaded after callers can be served, since that takes a while. */
  private async joinFleet(): Promise<void> {
    // The compiled file is loaded, and Node.js needs its extension.
    // eslint-disable-next-line import-x/extensions
    const { RoutedFleet } = await import('./fleet/RoutedFleet.js');
    if (this.stage !== 'running') return;
    this.fleet = new RoutedFleet(
      this.options,
      this.directory,
      this.confirmation,
      this.logger,
      this.clock,
      this.random,
    );
    this.facts = new factExchange.FactExchange(
      this.fleet.facts,
      this.fleet.members,
      this.services,
      this.suspicion,
      this.clock,
    );
    await this.fleet.start();
    this.facts.start();
  }

  /** Takes over changed settings, apart from those that need a new start. */
  public reload(loaded: routedSettings.RoutedSettings): void {
    const { settings, applied, deferred } = reloadedSettings.mergeReloaded(this.options, loaded);
    this.options = settings;
    this.logger.info({ event: names.SETTINGS_RELOADED, applied, deferred }, 'settings reloaded');
    if (applied.length === 0) return;
    this.fleet?.setSeeds(settings.seedPeers);
    this.applyDirectory();
    if (applied.includes('directoryUrl')) this.follower.restart();
  }

  /**
   * Stops as planned: becomes unready, serves on until the platform's balancer has noticed, then
   * stops accepting, and finishes every call in flight before the grace time ends.
   */
  public stop(): Promise<void> {
    this.stopped ??= this.runStop();
    return this.stopped;
  }

  private async runStop(): Promise<void> {
    const { stopGrace } = this.options;
    const startMs = this.clock.monotonicMs();
    this.stage = 'draining';
    this.fleet?.leave();
    this.logger.info({ stopGrace }, 'daemon is about to stop, and serves until callers are moved');
    await this.wait(stopGrace * SERVE_SHARE);
    this.stage = 'stopping';
    this.logger.info({ callsInFlight: this.coordinator.inFlight }, 'finishing calls');
    const closed = this.callers.close();
    const endMs = startMs + stopGrace - STOP_RESERVE_MS;
    while (this.callers.exchangesInFlight > 0 && this.clock.monotonicMs() < endMs) {
      await this.wait(FINISH_INTERVAL_MS);
    }
    await this.release();
    await closed;
    this.logger.info('daemon stopped');
  }

  private async release(): Promise<void> {
    this.pauses.dispose();
    this.shares.dispose();
    this.facts?.dispose();
    this.fleet?.dispose();
    this.follower.dispose();
    this.directory.dispose();
    this.callers.closeNow();
    await this.readiness.close();
    this.transport.dispose();
  }

  private wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.setTimer(durationMs, resolve);
    });
  }

  private applyDirectory(): void {
    const { configuration, servers, revision } = this.directory;
    if (configuration === undefined) return;
    const before = this.table?.routes?.configurationVersion;
    this.table = this.tables.build(configuration, servers, revision, {
      maxDaemons: this.shares.daemonCount,
      retryFraction: this.options.retryFraction,
      checksPerSecond: this.options.checksPerSecond,
    });
    this.checks.setRate(this.options.checksPerSecond * servers.length, this.table.maxDaemons);
    this.services.update(this.table);
    const { headerTimeoutMs, idleTimeoutMs } = configuration.limits;
    this.callers.setTimeouts(headerTimeoutMs, idleTimeoutMs);
    const fields = {
      event: names.TABLE_VERSION,
      configurationVersion: configuration.version,
      revision,
      servers: servers.length,
    };
    if (before === configuration.version) this.logger.debug(fields, 'servers changed');
    else this.logger.info(fields, 'configuration in force');
  }

  private makeShares(): fleetShares.FleetShares {
    const readTable = () => this.table;
    const limits: fleetShares.ISharedLimits = {
      get sharedAmong() {
        return readTable()?.maxDaemons;
      },
      setRetryReserve: (maxSaved, perSecond) => this.services.setRetryReserve(maxSaved, perSecond),
      shareServers: () => this.applyDirectory(),
    };
    const countMembers = () => this.fleet?.members.count ?? 0;
    const readOptions = () => this.options;
    return new fleetShares.FleetShares(readOptions, countMembers, limits, this.clock);
  }

  /** Drops what may have become untrue while the process did not run. */
  private recover(gapMs: number): void {
    this.logger.warn({ event: names.PROCESS_PAUSED, gapMs }, 'process was paused');
    this.transport.distrustConnections();
    this.services.dropReports();
    this.confirmation.reset();
    this.fleet?.onPaused();
    this.follower.restart();
  }

  private makeCallerServer(): callerServer.CallerServer {
    const readTable = () => this.table;
    const readPhase = () => this.phase;
    return new callerServer.CallerServer(
      {
        routes: {
          get table() {
            return readTable();
          },
          get phase() {
            return readPhase();
          },
        },
        protocol: this.parts.callerProtocol,
        runner: {
          start: (call, _key, onOutcome) =>
            startCall.startCall(call, this.services, this.coordinator, onOutcome),
          refuse: (_key, _service, refusal) => Promise.resolve(refusal),
        },
        observer: this.decisions,
        clock: this.clock,
        beforeRequest: () => this.pauses.check(),
      },
      MAX_HEADER_BYTES,
    );
  }
}
