import type * as callTypes from '../../common/call/Types';
import type * as types from '../../common/Types';
import type * as simulatedServer from './SimulatedServer';

/** Size of a service in the virtual bench. Durations are in milliseconds. */
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

/** A call of the virtual bench, with what the simulated servers need to run it. */
export interface ISimulatedCall extends callTypes.ICall {
  /** Time that the call takes on a server of normal speed. The same for every attempt. */
  readonly workMs: number;
  /** Work of the calls nested in this one, the outermost first. */
  readonly nestedWorkMs: readonly number[];
  /** Whether each server that runs the call crashes. */
  readonly crashes: boolean;
}

/** One call as it reaches the fleet. */
export interface IArrival {
  readonly atMs: number;
  /** Index of the daemon that receives it. */
  readonly daemon: number;
  /** Work of the call itself, then of the calls nested in it. */
  readonly workMsByDepth: readonly number[];
  /** Whether it is a long read, which the figures leave out. */
  readonly isLongRead: boolean;
  readonly crashes: boolean;
}

/** The parts that a scenario disturbs. */
export interface IScenarioContext {
  readonly clock: types.IClock;
  readonly random: types.IRandom;
  readonly company: ICompany;
  readonly servers: readonly simulatedServer.SimulatedServer[];
  /** Cuts the failure domain off from the others, or reconnects all with undefined. */
  isolate(failureDomain: string | undefined): void;
  /** Makes the idle connections of all daemons to the server stop responding. */
  silenceConnections(address: string): void;
  /** Replaces a daemon by a new process without estimates. */
  replaceDaemon(index: number): void;
}

/** A load and the disturbances that go with it. */
export interface IScenario {
  readonly name: string;
  /** Offered load as a fraction of the capacity of all slots at normal speed. */
  readonly utilization: number;
  /** Factor of the load at a time, 1 if absent. */
  loadFactorAt?(nowMs: number): number;
  /** Fraction of the offered load that is long reads. */
  readonly longReadUtilization?: number;
  /** Whether the long reads are a service of their own, of class leisure, on the same servers. */
  readonly hasLongReadService?: boolean;
  /** Time between calls that crash servers. */
  readonly crasherIntervalMs?: number;
  /** Number of nested calls of each call, the first included. The last one goes to a failing service. */
  readonly depth?: number;
  injectFaults?(context: IScenarioContext): void;
}

/** Figures of one policy in one scenario. */
export interface IPolicyFigures {
  readonly calls: number;
  readonly answered: number;
  readonly refusedNotRun: number;
  readonly late: number;
  readonly answeredLate: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly probesPerSecond: number;
  readonly maxProbesInOneSecond: number;
  /** Agreed total of the fleet, or null where the policy has no budget. */
  readonly probeBudgetPerSecond: number | null;
  readonly probesPerAnsweredCall: number;
  readonly attemptsPerCall: number;
  readonly controlBytesPerSecond: number;
}

/** Figures with the samples behind them, for the report. */
export interface IRunResult {
  readonly figures: IPolicyFigures;
  /** Latencies of all measured calls in ascending order; unanswered ones count as the deadline. */
  readonly latenciesMs: Float64Array;
}

/** What to simulate. */
export interface ISimulationOptions {
  readonly scenario: IScenario;
  readonly company: ICompany;
  readonly policy: string;
  readonly seed: number;
  /** Time during which calls arrive, the warm-up included. */
  readonly durationMs: number;
  /** Probes per second of the fleet. Without effect for policies that have no budget. */
  readonly probesPerSecond: number;
  /**
   * Whether the policies compared with also hedge and eject servers. Without it they are the
   * choice of a server alone, with retries. The default policy always runs with all features.
   */
  readonly allFeatures: boolean;
}
