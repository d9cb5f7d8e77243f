import type * as callTypes from '../../common/call/Types';
import * as policyFactory from '../../common/policy/PolicyFactory';
import type * as selectionPolicy from '../../common/policy/SelectionPolicy';
import type * as policyTypes from '../../common/policy/Types';
import * as seededRandom from '../../common/SeededRandom';
import type * as tableTypes from '../../common/table/Types';
import type * as types from '../../common/Types';
import * as arrivals from './Arrivals';
import * as benchTable from './BenchTable';
import * as heapClock from './HeapClock';
import * as oraclePolicy from './OraclePolicy';
import * as permitBudget from './PermitBudget';
import * as recorder from './Recorder';
import * as simulatedDaemon from './SimulatedDaemon';
import * as simulatedNetwork from './SimulatedNetwork';
import * as simulatedServer from './SimulatedServer';
import * as simulatedTransport from './SimulatedTransport';
import type * as benchTypes from './Types';

/** Calls that start earlier warm the estimates up and are not measured. */
const WARM_UP_MS = 3_000;
const DEADLINE_MS = 2_000;

/** What to simulate. */
export interface ISimulationOptions {
  readonly scenario: benchTypes.IScenario;
  readonly company: benchTypes.ICompany;
  readonly policy: string;
  readonly seed: number;
  /** Time during which calls arrive, the warm-up included. */
  readonly durationMs: number;
  /** Probes per second of the fleet. Without effect for policies that have no budget. */
  readonly probesPerSecond: number;
}

/** Streams that differ in purpose, so that a policy's draws change neither load nor faults. */
enum Stream {
  Arrivals = 1,
  Faults = 2,
  Policies = 3,
}

function randomOf(seed: number, stream: Stream): types.IRandom {
  return new seededRandom.SeededRandom(seed * 16 + stream);
}

function isFailure(outcome: callTypes.CallOutcome): boolean {
  return outcome.kind !== 'answered' || outcome.answer.status !== 200;
}

/** Runs one scenario under one policy on a virtual clock. */
export class Simulation implements benchTypes.IWorld {
  public readonly clock = new heapClock.HeapClock();

  public readonly random: types.IRandom;

  public readonly company: benchTypes.ICompany;

  public readonly servers: readonly simulatedServer.SimulatedServer[];

  private readonly network: simulatedNetwork.SimulatedNetwork;

  private readonly daemons: simulatedDaemon.SimulatedDaemon[];

  private readonly table: tableTypes.ITable;

  private readonly recorder = new recorder.Recorder();

  private readonly policyRandom: types.IRandom;

  private readonly depth: number;

  private callCount = 0;

  private allCalls = 0;

  public constructor(private readonly options: ISimulationOptions) {
    const { company, scenario, seed } = options;
    this.company = company;
    this.depth = scenario.depth ?? 1;
    this.random = randomOf(seed, Stream.Faults);
    this.policyRandom = randomOf(seed, Stream.Policies);
    this.table = benchTable.tableOf(company, options.probesPerSecond);
    this.servers = this.rows.map((row) => new simulatedServer.SimulatedServer(row, this.clock));
    this.network = new simulatedNetwork.SimulatedNetwork(company, this.depth, this.servers);
    this.network.runNestedCall = (call, onEnd) => this.runNested(call, onEnd);
    this.daemons = Array.from({ length: company.daemons }, (_item, index) =>
      this.createDaemon(index),
    );
  }

  public run(): benchTypes.IRunResult {
    const { scenario, durationMs, seed } = this.options;
    const source = new arrivals.Arrivals(scenario, this.company, randomOf(seed, Stream.Arrivals));
    scenario.disturb?.(this);
    this.scheduleNext(source);
    this.clock.runUntil(durationMs + DEADLINE_MS);
    return this.recorder.result(
      { fromMs: WARM_UP_MS, toMs: durationMs },
      this.company.daemons,
      this.allCalls,
      this.depth,
      this.isBudgeted ? this.options.probesPerSecond : null,
    );
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

  private get rows(): readonly tableTypes.IServerRow[] {
    return this.table.servers.get(this.company.service) ?? [];
  }

  private get isBudgeted(): boolean {
    return this.options.policy !== 'probing';
  }

  private createDaemon(index: number): simulatedDaemon.SimulatedDaemon {
    const failureDomain = benchTable.domainOf(index, this.company);
    const { network, clock } = this;
    const transport = new simulatedTransport.SimulatedTransport(
      failureDomain,
      network,
      clock,
      this.recorder.traffic,
    );
    const policy = this.createPolicy(failureDomain);
    return new simulatedDaemon.SimulatedDaemon(
      transport,
      policy,
      this.createBudget(),
      this.rows,
      clock,
    );
  }

  private createPolicy(failureDomain: string): selectionPolicy.SelectionPolicy {
    if (this.options.policy === 'oracle') {
      return new oraclePolicy.OraclePolicy(this.network, failureDomain, this.policyRandom);
    }
    return policyFactory.createPolicy(this.options.policy, this.policyRandom);
  }

  private createBudget(): policyTypes.IProbeBudget {
    if (!this.isBudgeted) return new permitBudget.UnlimitedBudget();
    const share = Math.floor(this.options.probesPerSecond / this.company.daemons);
    return new permitBudget.PermitBudget(share, this.clock);
  }

  private scheduleNext(source: arrivals.Arrivals): void {
    const arrival = source.take();
    if (arrival.atMs > this.options.durationMs) return;
    this.clock.setTimer(arrival.atMs - this.clock.monotonicMs(), () => {
      this.receive(arrival);
      this.scheduleNext(source);
    });
  }

  private receive(arrival: benchTypes.IArrival): void {
    const startedMs = this.clock.monotonicMs();
    const call = this.callOf(arrival.workMs, arrival.crashes, 0, startedMs + DEADLINE_MS);
    const isMeasured = startedMs >= WARM_UP_MS && !arrival.long && !arrival.crashes;
    this.allCalls += 1;
    this.daemons[arrival.daemon]?.start(call, (outcome) => {
      if (!isMeasured) return;
      this.recorder.record(call, startedMs, this.clock.monotonicMs(), outcome);
    });
  }

  private runNested(call: benchTypes.ISimulatedCall, onEnd: (failed: boolean) => void): void {
    const inner = this.callOf(call.workMs, false, call.depth + 1, call.deadlineMs);
    const daemon = this.daemons[this.random.nextInteger(this.daemons.length)];
    daemon?.start(inner, (outcome) => onEnd(isFailure(outcome)));
  }

  private callOf(
    workMs: number,
    crashes: boolean,
    depth: number,
    deadlineMs: number,
  ): benchTypes.ISimulatedCall {
    this.callCount += 1;
    return {
      requestId: `call-${this.callCount}`,
      service: this.table.services.get(this.company.service) as tableTypes.IServiceRow,
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
      crashes,
    };
  }
}
