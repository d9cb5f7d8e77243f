import * as callCoordinator from '../../common/call/CallCoordinator';
import type * as callTypes from '../../common/call/Types';
import * as checkBudget from '../../common/policy/CheckBudget';
import * as leastInFlightPolicy from '../../common/policy/LeastInFlightPolicy';
import type * as policyTypes from '../../common/policy/Types';
import * as probeBudget from '../../common/probing/ProbeBudget';
import * as observedTransport from '../../common/reach/ObservedTransport';
import * as serverReach from '../../common/reach/ServerReach';
import * as seededRandom from '../../common/SeededRandom';
import * as requestSuspicion from '../../common/suspicion/RequestSuspicion';
import type * as tableTypes from '../../common/table/Types';
import * as fixtures from '../../common/testing/Fixtures';
import * as virtualFleet from '../../common/testing/VirtualFleet';
import type * as types from '../../common/Types';
import * as factExchange from '../FactExchange';
import * as serviceSet from '../ServiceSet';
import * as startCall from '../startCall';

const SERVERS_TO_REFUSE = 3;
const SEEDS = 3;
const CHECK_MS = 1;
const WORK_MS = 60;
const STEP_MS = 10;
const CHECKS_PER_SECOND = 1_000;

/** Time for which a daemon has to run before it counts, and after the last crash, in milliseconds. */
const STABLE_MS = 3_000;

/** Fingerprint of the request that crashes each server that runs it. */
const CRASHING = 'crashing';

/** Load and faults of a simulated fleet. */
export interface ICrashScenario {
  readonly daemons: number;
  readonly servers: number;
  /** Requests per second that do no harm, of all callers together. */
  readonly requestsPerSecond: number;
  /** Interval at which the request that crashes servers is sent, in milliseconds. */
  readonly crashingIntervalMs: number;
  /** Time from the crash of a server until it runs again, in milliseconds. */
  readonly restartMs: number;
  /** Servers that one request may be sent to; 2 by default. */
  readonly maxAttempts?: number;
  /** Share of the requests that servers answer with a failure in place of running them. */
  readonly failingShare?: number;
  /** Whether a crashed server neither closes its connections nor refuses new ones. */
  readonly isDark?: boolean;
  /** Whether a restarted server has the identifier that it had before. */
  readonly keepsInstance?: boolean;
}

interface IExchange {
  readonly call: callTypes.ICall;
  readonly listener: callTypes.IAttemptListener;
  timer: types.IDisposable | undefined;
}

interface IServer {
  readonly address: string;
  start: number;
  startedAtMs: number;
  state: 'up' | 'refusing' | 'dark';
  readonly exchanges: Set<IExchange>;
}

interface IDaemon {
  readonly member: virtualFleet.IVirtualDaemon;
  readonly startedMs: number;
  readonly services: serviceSet.ServiceSet;
  readonly coordinator: callCoordinator.CallCoordinator;
  readonly disposables: types.IDisposable[];
}

/** Daemons that share servers of one service, and callers who send a request that crashes them. */
export class CrashFleet {
  public readonly fleet: virtualFleet.VirtualFleet;

  /** Times at which servers crashed, in monotonic milliseconds. */
  public readonly crashesMs: number[] = [];

  /** Times at which the crashing request was sent to a server by a daemon that counts. */
  public readonly sentMs: number[] = [];

  /** Whether callers send the crashing request. */
  public sendsCrashing = true;

  private readonly servers: IServer[] = [];

  private daemons: IDaemon[] = [];

  private readonly random: seededRandom.SeededRandom;

  private requestCount = 0;

  public constructor(
    private readonly scenario: ICrashScenario,
    seed: number,
  ) {
    this.random = new seededRandom.SeededRandom(seed);
    this.fleet = new virtualFleet.VirtualFleet({ size: 0, seed });
    this.fleet.canRead = () => false;
    for (let index = 0; index < scenario.servers; index += 1) {
      const address = `10.0.0.${index + 1}:80`;
      const startedAtMs = this.fleet.clock.wallTime().getTime();
      this.servers.push({ address, start: 1, startedAtMs, state: 'up', exchanges: new Set() });
    }
    for (let index = 0; index < scenario.daemons; index += 1) this.startDaemon(index);
  }

  /** Sends requests to random daemons for a while. */
  public play(durationMs: number): void {
    const { requestsPerSecond, crashingIntervalMs } = this.scenario;
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      if (this.random.next() < (requestsPerSecond * STEP_MS) / 1_000) this.send(undefined);
      if (this.sendsCrashing && this.nowMs % crashingIntervalMs < STEP_MS) this.send(CRASHING);
      this.fleet.clock.advance(STEP_MS);
    }
  }

  /** Kills daemons and starts new ones at their addresses. */
  public restartDaemons(indexes: readonly number[]): void {
    indexes.forEach((index) => this.startDaemon(index));
  }

  /** Number of times that the request was sent later than `stable` after the third crash by it. */
  public get lateSends(): number {
    const thirdMs = this.crashesMs[SERVERS_TO_REFUSE - 1] ?? Number.POSITIVE_INFINITY;
    return this.sentMs.filter((sentMs) => sentMs > thirdMs + STABLE_MS).length;
  }

  public dispose(): void {
    this.daemons.forEach(({ disposables }) => disposables.forEach((each) => each.dispose()));
  }

  private get nowMs(): number {
    return this.fleet.clock.monotonicMs();
  }

  private get table(): tableTypes.ITable {
    const { servers, scenario } = this;
    const table = fixtures.makeTable({ healthPath: '/health' }, scenario.servers);
    const rows = (table.servers.get('status') ?? []).map((row, index) => ({
      ...row,
      instance: CrashFleet.instanceOf(servers[index] as IServer),
      startedAtMs: servers[index]?.startedAtMs,
    }));
    return { ...table, maxDaemons: scenario.daemons, servers: new Map([['status', rows]]) };
  }

  private static instanceOf({ address, start }: IServer): string {
    return `${address}-${start}`;
  }

  private startDaemon(index: number): void {
    const { fleet, random } = this;
    const { clock } = fleet;
    const address = virtualFleet.addressOf(index);
    const previous = this.daemons.find(({ member }) => member.address === address);
    previous?.disposables.forEach((each) => each.dispose());
    this.daemons = this.daemons.filter((each) => each !== previous);
    const member = fleet.start(address);
    const vms = Array.from({ length: SEEDS }, (_, seed) => ({
      ...{ address: virtualFleet.addressOf(seed), failureDomain: '' },
      ...({ role: 'daemon', state: 'live' } as const),
    }));
    member.agent.members.updateVmList({ revision: 0, vms });
    const reach = new serverReach.ServerReach(clock);
    const transport = this.makeTransport(this.nowMs);
    const observed = new observedTransport.ObservedTransport(transport, reach);
    const budget = new checkBudget.CheckBudget(clock);
    budget.setRate(CHECKS_PER_SECOND, 1);
    const services = new serviceSet.ServiceSet(
      address,
      () => new leastInFlightPolicy.LeastInFlightPolicy(random),
      new probeBudget.ProbeBudget(clock),
      observed,
      clock,
      {
        ...{ checker: observed, budget, random, failureDomain: 'domain-0', rankOf: () => 0 },
        onceHeard: (callback) => reach.onceHeard(callback),
      },
    );
    services.update(this.table);
    const suspicion = new requestSuspicion.RequestSuspicion(clock, SERVERS_TO_REFUSE);
    const members = { leavingServers: new Set<string>() };
    const { facts } = member.agent;
    const exchange = new factExchange.FactExchange(facts, members, services, suspicion, clock);
    exchange.start();
    const coordinator = new callCoordinator.CallCoordinator(observed, suspicion, clock);
    const disposables = [exchange, reach];
    this.daemons.push({ member, startedMs: this.nowMs, services, coordinator, disposables });
  }

  private send(crashing: typeof CRASHING | undefined): void {
    const daemon = this.daemons[Math.floor(this.random.next() * this.daemons.length)] as IDaemon;
    this.requestCount += 1;
    const requestId = `${this.requestCount}`;
    const { table } = this;
    const service = table.services.get('status') as tableTypes.IServiceRow;
    const fingerprint = crashing ?? requestId;
    const call = {
      ...{ requestId, table, service, method: 'GET', path: '/', headers: [], fingerprint },
      ...{ body: new Uint8Array(), depth: 0, retriesSpent: 0 },
      maxAttempts: this.scenario.maxAttempts ?? 2,
      ...{ deadlineMs: this.nowMs + 1_200, objectiveAtMs: this.nowMs + 200 },
    };
    startCall.startCall(call, daemon.services, daemon.coordinator, () => undefined);
  }

  private makeTransport(startedMs: number): observedTransport.Transport {
    return {
      hasIdleConnection: () => true,
      probe: () => undefined,
      check: (row, _path, timeoutMs, onReply) => this.check(row, timeoutMs, onReply),
      send: (call, row, listener) => this.serve(call, row, listener, startedMs),
    };
  }

  private serverAt(address: string): IServer {
    return this.servers.find((server) => server.address === address) as IServer;
  }

  private check(
    row: tableTypes.IServerRow,
    timeoutMs: number,
    onReply: (reply: policyTypes.CheckReply) => void,
  ): void {
    const server = this.serverAt(row.address);
    const isDark = server.state === 'dark';
    this.fleet.clock.setTimer(isDark ? timeoutMs : CHECK_MS, () => {
      if (isDark) onReply({ kind: 'silent' });
      else if (server.state !== 'up') onReply({ kind: 'unreachable' });
      else if (row.instance !== CrashFleet.instanceOf(server)) onReply({ kind: 'replaced' });
      else {
        const report = { inFlight: server.exchanges.size, queued: 0, draining: false };
        onReply({ kind: 'ready', report });
      }
    });
  }

  private serve(
    call: callTypes.ICall,
    row: tableTypes.IServerRow,
    listener: callTypes.IAttemptListener,
    startedMs: number,
  ): callTypes.IAttempt {
    const server = this.serverAt(row.address);
    const exchange: IExchange = { call, listener, timer: undefined };
    const { clock } = this.fleet;
    if (server.state === 'refusing') {
      const detail = 'connection refused';
      exchange.timer = clock.setTimer(CHECK_MS, () => listener.onEnd({ kind: 'not-sent', detail }));
      return { cancel: () => exchange.timer?.dispose() };
    }
    listener.onSent();
    server.exchanges.add(exchange);
    if (call.fingerprint === CRASHING && this.nowMs - startedMs >= STABLE_MS) {
      this.sentMs.push(this.nowMs);
    }
    if (server.state === 'up') {
      exchange.timer = clock.setTimer(call.fingerprint === CRASHING ? CHECK_MS : WORK_MS, () =>
        this.complete(server, exchange),
      );
    }
    return {
      cancel: () => {
        exchange.timer?.dispose();
        server.exchanges.delete(exchange);
      },
    };
  }

  private complete(server: IServer, exchange: IExchange): void {
    const isFailure = this.random.next() < (this.scenario.failingShare ?? 0);
    if (exchange.call.fingerprint === CRASHING && !isFailure) {
      this.crash(server);
      return;
    }
    server.exchanges.delete(exchange);
    const answer = {
      status: isFailure ? 500 : 200,
      headers: [],
      body: new Uint8Array(),
      isFailure,
    };
    exchange.listener.onEnd({ kind: 'answered', answer });
  }

  private crash(crashed: IServer): void {
    const server = crashed;
    const { isDark = false, restartMs } = this.scenario;
    this.crashesMs.push(this.nowMs);
    server.state = isDark ? 'dark' : 'refusing';
    const exchanges = [...server.exchanges];
    exchanges.forEach(({ timer }) => timer?.dispose());
    if (!isDark) {
      server.exchanges.clear();
      exchanges.forEach(({ listener }) =>
        listener.onEnd({ kind: 'lost', reason: 'connection-lost', detail: 'connection reset' }),
      );
    }
    this.fleet.clock.setTimer(restartMs, () => this.restart(server));
  }

  private restart(restarted: IServer): void {
    const server = restarted;
    server.state = 'up';
    server.exchanges.clear();
    if (this.scenario.keepsInstance !== true) server.start += 1;
    server.startedAtMs = this.fleet.clock.wallTime().getTime();
    this.daemons.forEach(({ services }) => services.update(this.table));
  }
}
