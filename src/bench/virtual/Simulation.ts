import type * as callTypes from '../../common/call/Types';
import * as seededRandom from '../../common/SeededRandom';
import type * as tableTypes from '../../common/table/Types';
import type * as types from '../../common/Types';
import * as arrivals from './Arrivals';
import * as benchTable from './BenchTable';
import * as daemonFactory from './DaemonFactory';
import * as heapClock from '../../common/HeapClock';
import * as recorder from './Recorder';
import type * as simulatedDaemon from './SimulatedDaemon';
import * as simulatedNetwork from './SimulatedNetwork';
import * as simulatedServer from './SimulatedServer';
import type * as benchTypes from './Types';

/** Calls that start earlier only warm up the estimates, and are not measured. */
const WARM_UP_MS = 3_000;
/** Time until a fact has reached all daemons: two exchanges between failure domains. */
const FACT_PROPAGATION_MS = 3;

/** Separate random streams, so that the draws of a policy change neither load nor faults. */
enum RandomStream {
  Arrivals = 1,
  Faults = 2,
  Policies = 3,
  Nested = 4,
}

function randomOf(seed: number, stream: RandomStream): types.IRandom {
  return new seededRandom.SeededRandom(seed * 16 + stream);
}

function isFailure(outcome: callTypes.CallOutcome): boolean {
  return outcome.kind !== 'answered' || outcome.answer.status !== 200;
}

/** Runs one scenario under one policy on a virtual clock. */
export class Simulation implements benchTypes.IScenarioContext {
  public readonly clock = new heapClock.HeapClock();

  public readonly random: types.IRandom;

  public readonly company: benchTypes.ICompany;

  public readonly servers: readonly simulatedServer.SimulatedServer[];

  private readonly network: simulatedNetwork.SimulatedNetwork;

  private readonly factory: daemonFactory.DaemonFactory;

  private readonly daemons: simulatedDaemon.SimulatedDaemon[];

  private readonly table: tableTypes.ITable;

  private readonly recorder = new recorder.Recorder();

  private readonly nestedRandom: types.IRandom;

  private callCount = 0;

  private arrivalCount = 0;

  public constructor(private readonly options: benchTypes.ISimulationOptions) {
    const { company, scenario, seed } = options;
    this.company = company;
    this.random = randomOf(seed, RandomStream.Faults);
    this.nestedRandom = randomOf(seed, RandomStream.Nested);
    this.table = benchTable.tableOf(
      company,
      scenario,
      options.probesPerSecond,
      daemonFactory.hasAllFeatures(options),
    );
    this.servers = this.createServers(company.service);
    const failing = this.createServers(benchTable.FAILING_SERVICE);
    failing.forEach((server) => Object.assign(server, { refusing: true }));
    this.network = new simulatedNetwork.SimulatedNetwork(company, [...this.servers, ...failing]);
    this.network.nestedRunner = (call, onEnd) => this.runNested(call, onEnd);
    this.factory = new daemonFactory.DaemonFactory(
      options,
      this.table,
      this.network,
      this.clock,
      randomOf(seed, RandomStream.Policies),
      this.recorder.traffic,
    );
    this.daemons = Array.from({ length: company.daemons }, (_item, index) =>
      this.createDaemon(index),
    );
  }

  public run(): benchTypes.IRunResult {
    const { scenario, durationMs, seed } = this.options;
    const arrivalSource = new arrivals.Arrivals(
      scenario,
      this.company,
      randomOf(seed, RandomStream.Arrivals),
    );
    scenario.injectFaults?.(this);
    this.scheduleNext(arrivalSource);
    this.clock.runUntil(durationMs + this.serviceOf(this.company.service).deadlineMs);
    const nesting = scenario.depth === undefined ? 'single' : 'nested';
    const window = { fromMs: WARM_UP_MS, toMs: durationMs };
    return this.recorder.result(window, this.company.daemons, this.arrivalCount, nesting, {
      probesPerSecond: daemonFactory.hasProbeBudget(this.options)
        ? this.options.probesPerSecond
        : null,
    });
  }

  public isolate(failureDomain: string | undefined): void {
    this.network.isolate(failureDomain);
  }

  public silenceConnections(address: string): void {
    this.daemons.forEach((daemon) => daemon.transport.silence(address));
  }

  public replaceDaemon(index: number): void {
    this.daemons[index] = this.createDaemon(index);
  }

  private createServers(service: string): readonly simulatedServer.SimulatedServer[] {
    const rows = this.table.servers.get(service) ?? [];
    return rows.map((row) => new simulatedServer.SimulatedServer(row, this.clock));
  }

  private createDaemon(index: number): simulatedDaemon.SimulatedDaemon {
    const daemon = this.factory.create(benchTable.domainOf(index, this.company));
    // Daemons send new facts to each other at once.
    const broadcast = (merge: (peer: simulatedDaemon.SimulatedDaemon) => void): void => {
      this.clock.setTimer(FACT_PROPAGATION_MS, () =>
        this.daemons.filter((peer) => peer !== daemon).forEach(merge),
      );
    };
    daemon.suspicion.onLoss((loss) =>
      broadcast((peer) => peer.suspicion.merge(loss, FACT_PROPAGATION_MS)),
    );
    daemon.balancers.forEach((balancer, position) => {
      balancer.eligibility.onDraining((address) =>
        broadcast((peer) => peer.balancers[position]?.eligibility.mergeDraining(address)),
      );
      balancer.eligibility.onEjected(({ address }) =>
        broadcast((peer) => peer.balancers[position]?.eligibility.mergeRefusing(address)),
      );
    });
    return daemon;
  }

  private serviceOf(name: string): tableTypes.IServiceRow {
    const service = this.table.services.get(name);
    if (service === undefined) throw new Error(`service ${name} is not in the table of the bench`);
    return service;
  }

  private scheduleNext(arrivalSource: arrivals.Arrivals): void {
    const arrival = arrivalSource.next();
    if (arrival.atMs > this.options.durationMs) return;
    this.clock.setTimer(arrival.atMs - this.clock.monotonicMs(), () => {
      this.receive(arrival);
      this.scheduleNext(arrivalSource);
    });
  }

  private receive(arrival: benchTypes.IArrival): void {
    const startedMs = this.clock.monotonicMs();
    const { isLongRead, crashes, workMsByDepth } = arrival;
    const usesLongReadService = isLongRead && this.options.scenario.hasLongReadService === true;
    const service = this.serviceOf(
      usesLongReadService ? benchTable.LONG_READ_SERVICE : this.company.service,
    );
    const call = this.createCall(
      service,
      workMsByDepth,
      crashes,
      0,
      startedMs + service.deadlineMs,
    );
    const isMeasured = startedMs >= WARM_UP_MS && !isLongRead && !crashes;
    this.arrivalCount += 1;
    this.daemons[arrival.daemon]?.start(call, (outcome) => {
      if (isMeasured) this.recorder.record(call, startedMs, this.clock.monotonicMs(), outcome);
    });
  }

  private runNested(outer: benchTypes.ISimulatedCall, onEnd: (failed: boolean) => void): void {
    const isLeaf = outer.nestedWorkMs.length === 1;
    const depth = outer.depth + 1;
    const nested = benchTable.nestedServiceOf(this.company, depth);
    const service = this.serviceOf(isLeaf ? benchTable.FAILING_SERVICE : nested);
    const inner = this.createCall(service, outer.nestedWorkMs, false, depth, outer.deadlineMs);
    const daemon = this.daemons[this.nestedRandom.nextInteger(this.daemons.length)];
    const { retriesSpent } = outer;
    daemon?.start({ ...inner, retriesSpent }, (outcome) => onEnd(isFailure(outcome)));
  }

  private createCall(
    service: tableTypes.IServiceRow,
    workMsByDepth: readonly number[],
    crashes: boolean,
    depth: number,
    deadlineMs: number,
  ): benchTypes.ISimulatedCall {
    this.callCount += 1;
    const [workMs = 0, ...nestedWorkMs] = workMsByDepth;
    return {
      requestId: `call-${this.callCount}`,
      service,
      table: this.table,
      method: 'GET',
      path: '/',
      headers: [],
      body: new Uint8Array(),
      deadlineMs,
      depth,
      retriesSpent: 0,
      fingerprint: crashes ? 'crasher' : `call-${this.callCount}`,
      workMs,
      nestedWorkMs,
      crashes,
    };
  }
}
