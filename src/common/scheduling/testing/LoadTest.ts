import * as callCoordinator from '../../call/CallCoordinator';
import * as serviceBalancer from '../../call/ServiceBalancer';
import type * as callTypes from '../../call/Types';
import * as heapClock from '../../HeapClock';
import * as checkBudget from '../../policy/CheckBudget';
import * as randomPolicy from '../../policy/RandomPolicy';
import * as subset from '../../policy/Subset';
import * as seededRandom from '../../SeededRandom';
import * as requestSuspicion from '../../suspicion/RequestSuspicion';
import type * as tableTypes from '../../table/Types';
import * as fakeNetwork from './FakeNetwork';
import * as fakeServer from './FakeServer';
import * as loadResults from './LoadResults';

/** Checks of a server that all daemons together may make, a second. */
const CHECKS_PER_SERVER = 40;

/** Share of its remaining time after which a refused caller returns at the latest. */
const MAX_RETURN_SHARE = 1 / 3;

/** One kind of calls. */
export interface IKind {
  readonly name: string;
  readonly priority: number;
  readonly perSecond: number;
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  /** Factor of the rate at a time, in milliseconds; 1 by default. */
  readonly rateFactorAt?: (nowMs: number) => number;
}

/** A stated load. */
export interface ILoad {
  readonly daemons: number;
  readonly servers: number;
  readonly slots: number;
  readonly maxQueue: number;
  readonly hasSlowSpells?: boolean;
  readonly kinds: readonly IKind[];
  readonly seconds: number;
}

const SERVICE = {
  ...{ name: 's', idempotent: true, workClass: 'prompt', hedgeFraction: 0, retryFraction: 0.2 },
  healthPath: '/health',
} as unknown as tableTypes.IServiceRow;

interface IDaemon {
  readonly balancer: serviceBalancer.ServiceBalancer;
  readonly coordinator: callCoordinator.CallCoordinator;
}

/** Plays a load on the calls, balancers and schedulers of several daemons, on a virtual clock. */
export class LoadTest {
  public readonly clock = new heapClock.HeapClock();

  public readonly results = new loadResults.LoadResults();

  public readonly network: fakeNetwork.FakeNetwork;

  public readonly daemons: readonly IDaemon[];

  private readonly random = new seededRandom.SeededRandom(7);

  private table: tableTypes.ITable;

  public constructor(private readonly load: ILoad) {
    this.network = new fakeNetwork.FakeNetwork(this.clock, ({ route }) => {
      const kind = load.kinds.find(({ name }) => name === route) as IKind;
      return kind.workMs * (0.5 + this.random.next());
    });
    this.table = this.tableOf(this.makeServers());
    this.daemons = Array.from({ length: load.daemons }, () => this.makeDaemon());
    load.kinds.forEach((kind) => this.scheduleArrival(kind));
  }

  /** Plays the load up to a time, in milliseconds. */
  public runUntil(untilMs: number): void {
    this.clock.runUntil(untilMs);
  }

  /** Plays the load, and waits until every call has ended. */
  public run(): loadResults.LoadResults {
    const longestMs = Math.max(...this.load.kinds.map(({ deadlineMs }) => deadlineMs));
    this.clock.runUntil(this.load.seconds * 1_000 + longestMs);
    return this.results;
  }

  /** Applies a table without servers at all daemons. */
  public removeServers(): void {
    this.table = this.tableOf([]);
    this.daemons.forEach(({ balancer }) => balancer.update(this.table, SERVICE));
  }

  /** Starts a call at a daemon. */
  public start(kind: IKind, daemon: number): callTypes.IRunningCall {
    const startMs = this.clock.monotonicMs();
    return this.attempt(kind, startMs, daemon, startMs + kind.objectiveMs, false);
  }

  private scheduleArrival(kind: IKind): void {
    const nowMs = this.clock.monotonicMs();
    const factor = kind.rateFactorAt?.(nowMs) ?? 1;
    // Without load for now, it is looked at again after a moment.
    const meanMs = factor === 0 ? 10 : 1_000 / (factor * kind.perSecond);
    const delayMs = -meanMs * Math.log(1 - this.random.next());
    this.clock.setTimer(delayMs, () => {
      if (this.clock.monotonicMs() >= this.load.seconds * 1_000) return;
      if (factor > 0) this.start(kind, this.random.nextInteger(this.load.daemons));
      this.scheduleArrival(kind);
    });
  }

  private attempt(
    kind: IKind,
    startMs: number,
    daemon: number,
    objectiveAtMs: number,
    isRetry: boolean,
  ): callTypes.IRunningCall {
    const sentMs = this.clock.monotonicMs();
    const { coordinator, balancer } = this.daemons[daemon] as IDaemon;
    const deadlineMs = startMs + kind.deadlineMs;
    const call = this.callOf(kind, deadlineMs, objectiveAtMs);
    return coordinator.start(call, balancer, (outcome) => {
      const nowMs = this.clock.monotonicMs();
      const record = { kind: kind.name, startMs, objectiveMs: kind.objectiveMs };
      if (outcome.kind === 'answered') {
        this.results.recordAnswer(record, nowMs);
        return;
      }
      this.results.recordRefusal({
        ...record,
        ...{ heldMs: nowMs - sentMs, atMs: nowMs, deadlineMs: kind.deadlineMs },
        ...{ idleSlots: this.idleSlots, outcome },
        isFinal: isRetry || outcome.kind !== 'not-run',
      });
      if (isRetry || outcome.kind !== 'not-run') return;
      const latestMs = MAX_RETURN_SHARE * (deadlineMs - nowMs);
      const delayMs = Math.min(latestMs, outcome.retryAfterMs ?? 10);
      const other = (daemon + 1) % this.load.daemons;
      this.clock.setTimer(delayMs, () =>
        // The other daemon does not know when the caller sent its first attempt.
        this.attempt(kind, startMs, other, this.clock.monotonicMs() + kind.objectiveMs, true),
      );
    });
  }

  private get idleSlots(): number {
    return [...this.network.servers.values()].reduce((sum, { idleSlots }) => sum + idleSlots, 0);
  }

  private callOf(kind: IKind, deadlineMs: number, objectiveAtMs: number): callTypes.ICall {
    return {
      ...{ requestId: 'r', service: SERVICE, table: this.table, method: 'GET', path: '/' },
      ...{ headers: [], body: new Uint8Array(), depth: 0, retriesSpent: 0, fingerprint: 'f' },
      ...{ route: kind.name, priority: kind.priority, deadlineMs, objectiveAtMs },
    };
  }

  private makeServers(): tableTypes.IServerRow[] {
    const { servers, slots, maxQueue, hasSlowSpells = false } = this.load;
    return Array.from({ length: servers }, (_, index) => {
      const place = { address: `10.0.0.${index}:80`, failureDomain: 'a', maxConnections: 1_000 };
      const row = { service: 's', weight: 1, slots, ...place };
      const { clock, random } = this;
      const server = new fakeServer.FakeServer(row, maxQueue, clock, random, hasSlowSpells);
      this.network.servers.set(row.address, server);
      return row;
    });
  }

  private tableOf(rows: readonly tableTypes.IServerRow[]): tableTypes.ITable {
    const servers = new Map([['s', rows]]);
    return { maxDaemons: this.load.daemons, servers } as unknown as tableTypes.ITable;
  }

  private makeDaemon(): IDaemon {
    const { clock, network, random } = this;
    const budget = new checkBudget.CheckBudget(clock);
    budget.setRate(CHECKS_PER_SERVER * this.load.servers, this.load.daemons);
    const policy = new randomPolicy.RandomPolicy(random);
    const name = `daemon ${random.next()}`;
    const rankOf = (address: string) => subset.rendezvousRank(name, address);
    const balancer = new serviceBalancer.ServiceBalancer(policy, clock, true, {
      ...{ checker: network, budget, random, failureDomain: 'a', rankOf },
    });
    balancer.update(this.table, SERVICE);
    const suspicion = new requestSuspicion.RequestSuspicion(clock);
    return {
      balancer,
      coordinator: new callCoordinator.CallCoordinator(network, suspicion, clock),
    };
  }
}
