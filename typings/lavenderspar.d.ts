/**
 * Public API of lavenderspar.
 *
 * Units: members whose name ends in `Ms` are milliseconds; monotonic times have an arbitrary
 * origin and are comparable only within one process. Members whose name ends in `Bytes` are bytes.
 * Addresses consist of an IP address and a port, as in `10.0.0.1:8080` or `[fd00::1]:8080`.
 *
 * Errors: expected failures are values of the type `Result`, with a tagged union or a list of
 * problems as the error. Only `Daemon.start` rejects, with a `StartError`.
 */

/** Object that holds a resource or a registration until it is disposed. */
export interface IDisposable {
  /** Releases the resource. Has no effect when called again. */
  dispose(): void;
}

/** Registers a listener for events of one type; disposing the result removes the listener. */
export type Event<T> = (listener: (event: T) => void) => IDisposable;

/** Either a value or an error. Expected errors are returned, not thrown. */
export type Result<TValue, TError> =
  { readonly ok: true; readonly value: TValue } | { readonly ok: false; readonly error: TError };

/** Source of time. A daemon uses the clock of the operating system by default. */
export interface IClock {
  /** Monotonic time in milliseconds, from an arbitrary origin. May be fractional. */
  monotonicMs(): number;
  /** Wall-clock time. Only for display and for values that leave the process. */
  wallTime(): Date;
  /** Calls `callback` once after `delayMs` milliseconds, unless the timer is disposed first. */
  setTimer(delayMs: number, callback: () => void): IDisposable;
}

/** Source of randomness. Not used for secrets. */
export interface IRandom {
  /** Returns a number in [0, 1). */
  next(): number;
  /** Returns an integer in [0, bound). `bound` must be at least 1. */
  nextInteger(bound: number): number;
}

/** Settings of one daemon. Parsed from YAML by `parseSettings`. */
export interface Settings {
  /** Address at which callers, or the platform's balancer, reach the daemon (HTTP/1.1). */
  readonly callerAddress: string;
  /** Address of the operators' endpoint (HTTP/1.1, read only). */
  readonly operatorAddress: string;
  /** Address at which peers reach the daemon (gRPC). Identifies the daemon in the fleet. */
  readonly peerAddress: string;
  /** Failure domain of the VM, from 1 to 63 characters. */
  readonly failureDomain: string;
  /** Base URL of the platform's configuration service, with the scheme `http`. */
  readonly platformUrl: string;
  /** Selection policy. Default: `load-aware`. */
  readonly policy: string;
  /** Minimum level of log lines. Default: `info`. */
  readonly logLevel: 'trace' | 'debug' | 'info' | 'warn' | 'error';
  /** Address to which metrics are sent over UDP. If absent, no metrics are sent. */
  readonly metricsAddress?: string | undefined;
  /** URL of an OTLP collector for traces over HTTP. If absent, no traces are sent. */
  readonly tracesUrl?: string | undefined;
  /** Fraction of the calls without `traceparent` that are sampled, from 0 to 1. Default: 0.01. */
  readonly tracesSampleFraction: number;
  /**
   * Time for which a daemon keeps serving during shutdown, so that the platform's balancer can
   * notice that it is unready. From 0 to 120000. Default: 5000.
   */
  readonly platformBalancerLagMs: number;
}

/** An error in the settings. */
export interface ISettingsProblem {
  /** Path of the setting, as in `logLevel`; empty if the error concerns the whole text. */
  readonly path: string;
  /** What was expected and what was found. */
  readonly message: string;
}

/** Parses settings in YAML. Reports all problems at once, including unknown settings. */
export function parseSettings(text: string): Result<Settings, readonly ISettingsProblem[]>;

/**
 * Priority class of a service. At high load, a daemon refuses `leisure` calls first. Only `prompt`
 * calls are hedged.
 */
export type WorkClass = 'prompt' | 'leisure';

/** Whether callers must send a request key that a daemon has issued. */
export type RequestKeyRule = 'required' | 'none';

/** A service: one row of kind `service` of the table. */
export interface IServiceRow {
  readonly name: string;
  readonly workClass: WorkClass;
  /**
   * Whether a request may be run twice without harm. If not, it is never hedged, and retried only
   * if it was certainly not run.
   */
  readonly idempotent: boolean;
  readonly requestKey: RequestKeyRule;
  /** Default deadline of a call that sets none. */
  readonly deadlineMs: number;
  /** Probes per second that the whole fleet may send to the servers of this service. */
  readonly probesPerSecond: number;
  /** Hedge budget, as a fraction of first attempts. Hedges also count against the retry budget. */
  readonly hedgeFraction: number;
  /** Retry budget, as a fraction of first attempts. */
  readonly retryFraction: number;
  readonly maxRequestBytes: number;
  readonly maxAnswerBytes: number;
  /** Path of the health endpoint. Set only if servers are checked before dispatch. */
  readonly healthPath?: string | undefined;
  /** Whether all its calls have the same priority, so that none has to give way to another. */
  readonly hasOnePriority?: boolean | undefined;
}

/** A backend server: one row of kind `server` of the table. */
export interface IServerRow {
  readonly service: string;
  readonly address: string;
  readonly failureDomain: string;
  /** Relative share of requests. A server with weight 0 is listed but gets no new requests. */
  readonly weight: number;
  /** Number of requests that the server runs concurrently. */
  readonly slots: number;
  /** Maximum number of connections to the server from all daemons together. */
  readonly maxConnections: number;
  /** Identifies the server process. Sent with requests, so that another process refuses them. */
  readonly instance?: string | undefined;
  /** Start of the server process in Unix milliseconds. A restarted server has lost its state. */
  readonly startedAtMs?: number | undefined;
  /** Requests a second that it takes from all daemons together while it is cold, if limited. */
  readonly coldRequestsPerSecond?: number | undefined;
}

/** A service that receives a share of a route's requests. */
export interface IRouteTarget {
  readonly service: string;
  /** Share of the requests relative to the other targets of the route. */
  readonly weight: number;
}

/** Published rule for the requests of one host under one path prefix. */
export interface IRoute {
  readonly name: string;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Path prefix, with a leading and a trailing slash. The longest matching prefix applies. */
  readonly prefix: string;
  /** At least one target, with a positive total weight. */
  readonly targets: readonly IRouteTarget[];
  readonly idempotent: boolean;
  /** Whether answers are large, so that their transfer takes a part of the time. */
  readonly hasLargeAnswers?: boolean | undefined;
  /** Rank among the requests of a service: the lower, the more urgent. 0 is the most urgent. */
  readonly priority: number;
  /** Maximum time that a caller waits for the answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective: time within which an answer is fully useful, in milliseconds. */
  readonly objectiveMs: number;
  /** Maximum number of servers that a request is sent to, retries included. */
  readonly maxAttempts: number;
}

/** Limits for requests and connections of callers. Sizes are in bytes. */
export interface ICallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Timeout for receiving the headers of a request, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Keep-alive timeout of an idle connection, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** Published settings of a service. */
export interface IServiceTerms {
  readonly name: string;
  /** Path of the health endpoint of a server. */
  readonly healthPath: string;
  /** Maximum number of connections to each server from all daemons together. */
  readonly maxConnections: number;
  /** Requests a second that a cold server takes from all daemons together, if it is limited. */
  readonly coldRequestsPerSecond?: number | undefined;
}

/** One version of the operators' configuration. */
export interface IConfiguration {
  /** Increases with each version. */
  readonly version: number;
  readonly routes: readonly IRoute[];
  readonly services: readonly IServiceTerms[];
  readonly limits: ICallerLimits;
}

/** The route of a request and the target selected for it. */
export interface IRouteMatch {
  readonly route: IRoute;
  /** Settings of the selected service, with the overrides of the route. */
  readonly service: IServiceRow;
}

/** Matches requests to routes. */
export interface IRouteTable {
  readonly configurationVersion: number;
  readonly limits: ICallerLimits;
  /**
   * Returns the route of a request and the service of one of its targets, or undefined if no route
   * applies. Each match of a route with several targets advances its weighted round robin.
   * @param host Value of the `host` header.
   * @param path Path without query.
   */
  match(host: string, path: string): IRouteMatch | undefined;
  /** Returns the services that a request with this host and path may go to; none without a route. */
  servicesOf(host: string, path: string): readonly string[];
}

/** Validated table. Immutable: a call uses the same table from start to end. */
export interface ITable {
  readonly version: number;
  /** Hash of the text, to distinguish tables with the same version. */
  readonly hash: string;
  /** Maximum number of daemons running at once, replacements included. */
  readonly maxDaemons: number;
  readonly services: ReadonlyMap<string, IServiceRow>;
  /** Servers by service name. Every service of `services` has an entry. */
  readonly servers: ReadonlyMap<string, readonly IServerRow[]>;
  /** The text as published. */
  readonly text: string;
  /** Routes by host and path. Set only if callers do not name the service themselves. */
  readonly routes?: IRouteTable | undefined;
}

/** A validation problem, located for a user who has the table open in a spreadsheet. */
export interface ITableProblem {
  /** Line of the text, 1-based. */
  readonly line: number;
  readonly column: string;
  readonly found: string;
  /** The accepted values, as a sentence fragment. */
  readonly accepted: string;
}

/** Parses and validates table text: CSV with a header row, at most 1 MiB. */
export const TableParser: {
  /** Parses `text` and returns the table, or all problems sorted by line. */
  parse(text: string): Result<ITable, readonly ITableProblem[]>;
};

/** Load reported by a backend server, in an answer or a probe reply. */
export interface ILoadReport {
  /** Number of requests that are running. */
  readonly inFlight: number;
  /** Number of requests waiting for a slot. */
  readonly queued: number;
  readonly draining: boolean;
  /** Current service time relative to the normal one, if the server reports it. */
  readonly slowdown?: number | undefined;
}

/** State of a server, as a selection policy sees it. */
export interface IServerState {
  readonly address: string;
  readonly failureDomain: string;
  readonly weight: number;
  readonly slots: number;
  /** Number of this daemon's attempts in flight. */
  readonly inFlight: number;
  /** Start of the oldest attempt in flight, in monotonic milliseconds. */
  readonly oldestStartMs: number | undefined;
  /** Moving average of answer latencies; set to the wait of an unanswered attempt if longer. */
  readonly latencyMs: number | undefined;
  /** Lowest recent latency, close to the network round trip; undefined before the first answer. */
  readonly fastestMs: number | undefined;
  /** Monotonic time of the last change of `latencyMs`. */
  readonly latencyAtMs: number;
  readonly report: ILoadReport | undefined;
  /** Monotonic time of `report` in milliseconds. */
  readonly reportedAtMs: number;
  /** Moving average of the reported load (running plus queued requests). */
  readonly usualReportedLoad: number | undefined;
  /** Number of attempts that this daemon has started since `report`. */
  readonly startedSinceReport: number;
  /** Progress of the slow start of a new or returning server, in (0, 1]; 1 when complete. */
  readonly warmth: number;
}

/** Selects the backend server for an attempt. Extend it to implement a custom policy. */
export abstract class SelectionPolicy {
  /** Name of the policy in the settings. */
  public abstract readonly name: string;

  /**
   * Returns one of `candidates`, which is never empty.
   * @param nowMs Monotonic time in milliseconds.
   */
  public abstract choose(candidates: readonly IServerState[], nowMs: number): IServerState;

  /**
   * Returns the servers to probe after a call has started, in order of priority. The probe budget
   * limits how many of them are probed. Returns none by default.
   */
  public probeTargets(servers: readonly IServerState[], nowMs: number): readonly IServerState[];

  /** Records the reply to a probe, after `server.report` has been updated. */
  public recordProbe(server: IServerState, nowMs: number): void;
}

/**
 * Lifecycle phase of a daemon. `starting`: calls are refused as `not-ready`. `draining`: the
 * daemon is unready but still serves, and closes connections after use. `stopping`: calls are
 * refused as `shutting-down`.
 */
export type Phase = 'starting' | 'ready' | 'draining' | 'stopping';

/** Overrides for the defaults of a daemon. */
export interface IDaemonOptions {
  /** Default: the clock of the operating system. */
  readonly clock?: IClock;
  /** Default: `Math.random`. */
  readonly random?: IRandom;
  /** Stream to which the log is written as JSON lines. Default: standard output. */
  readonly logStream?: NodeJS.WritableStream;
  /** Creates the policy of each service. Default: the policy named in the settings. */
  readonly makePolicy?: () => SelectionPolicy;
}

/**
 * Thrown when the daemon cannot listen on an address from its settings. The message names the
 * setting and the reason.
 */
export class StartError extends Error {
  public constructor(setting: string, address: string, cause: Error);
}

/** One daemon of the fleet. */
export class Daemon {
  public constructor(settings: Settings, options?: IDaemonOptions);

  /** Lifecycle phase. Calls are served while `ready` and `draining`. */
  public get phase(): Phase;

  /**
   * Listens on the addresses in the settings and starts reading the table. Resolves before the
   * daemon is ready. Rejects with a `StartError` after closing what was opened.
   */
  public start(): Promise<void>;

  /**
   * Shuts down gracefully: becomes unready, keeps serving for `platformBalancerLagMs`, stops
   * accepting connections, finishes every call in flight, hands over the request keys and leaves
   * the fleet. Repeated calls return the same promise. Takes at most `platformBalancerLagMs`, plus
   * the longest deadline of a call in flight, plus about 10 s.
   */
  public stop(): Promise<void>;
}
