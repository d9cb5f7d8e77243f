import type * as callTypes from '../../common/call/Types';
import type * as types from '../../common/Types';
import type * as simulatedServer from './SimulatedServer';

/** Sizes of a fleet and its measured service in the virtual bench. */
export interface ICompany {
  readonly name: string;
  readonly service: string;
  readonly servers: number;
  readonly slots: number;
  readonly maxConnections: number;
  readonly daemons: number;
  readonly failureDomains: number;
  /** One-way latency within a failure domain. */
  readonly intraDomainLatencyMs: number;
  /** One-way latency between failure domains. */
  readonly crossDomainLatencyMs: number;
}

/** A call of the virtual bench, with the properties that decide how simulated servers run it. */
export interface ISimulatedCall extends callTypes.ICall {
  /** Service time on a server of normal speed, the same for every attempt. */
  readonly workMs: number;
  /** Service times of the calls nested in this one, the outermost first. */
  readonly nestedWorkMs: readonly number[];
  /** Whether the call crashes each server that runs it. */
  readonly crashes: boolean;
}

/** A call as it reaches the fleet. */
export interface IArrival {
  readonly atMs: number;
  /** Index of the daemon that receives it. */
  readonly daemon: number;
  /** Service times of the call itself and then of the calls nested in it. */
  readonly workMsByDepth: readonly number[];
  /** Long reads are not measured. */
  readonly isLongRead: boolean;
  readonly crashes: boolean;
}

/** What a scenario can inject faults into. */
export interface IScenarioContext {
  readonly clock: types.IClock;
  readonly random: types.IRandom;
  readonly company: ICompany;
  readonly servers: readonly simulatedServer.SimulatedServer[];
  /** Partitions the failure domain from the others. Ends the partition if it is undefined. */
  isolate(failureDomain: string | undefined): void;
  /** Makes the idle connections of all daemons to the server stop responding. */
  silenceConnections(address: string): void;
  /** Replaces a daemon by a new one without estimates. */
  replaceDaemon(index: number): void;
}

/** An offered load, and the faults that are injected under it. */
export interface IScenario {
  readonly name: string;
  /** Offered load as a fraction of the capacity of all slots at normal speed. */
  readonly utilization: number;
  /** Returns the factor by which the offered load is multiplied at a time. 1 if absent. */
  loadFactorAt?(nowMs: number): number;
  /** Part of `utilization` that long reads take. */
  readonly longReadUtilization?: number;
  /** Whether long reads have a separate service of class leisure, on the same servers. */
  readonly hasLongReadService?: boolean;
  /** Time between calls that crash servers. */
  readonly crasherIntervalMs?: number;
  /** Number of calls in a chain of nested calls. The innermost one goes to a failing service. */
  readonly depth?: number;
  injectFaults?(context: IScenarioContext): void;
}

/** Results of one policy in one scenario. */
export interface IPolicyFigures {
  readonly calls: number;
  readonly answered: number;
  readonly refusedNotRun: number;
  /** Unanswered calls whose outcome is unknown, or whose deadline passed before dispatch. */
  readonly late: number;
  readonly answeredLate: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly probesPerSecond: number;
  readonly maxProbesInOneSecond: number;
  /** Probe budget of the fleet, or null if the policy has none. */
  readonly probeBudgetPerSecond: number | null;
  readonly probesPerAnsweredCall: number;
  readonly attemptsPerCall: number;
  readonly controlBytesPerSecond: number;
}

/** Results of a run, with the samples for the report. */
export interface IRunResult {
  readonly figures: IPolicyFigures;
  /** Latencies of all measured calls, ascending. Unanswered calls count with their deadline. */
  readonly latenciesMs: Float64Array;
}

/** Options of a simulation. */
export interface ISimulationOptions {
  readonly scenario: IScenario;
  readonly company: ICompany;
  readonly policy: string;
  readonly seed: number;
  /** Time during which calls arrive, including the warm-up. */
  readonly durationMs: number;
  /** Probes per second of the fleet. Ignored for policies without a budget. */
  readonly probesPerSecond: number;
  /**
   * Whether the other policies also hedge and eject servers. If not, they only select a server and
   * retry. The default policy always runs with all features.
   */
  readonly allFeatures: boolean;
}
