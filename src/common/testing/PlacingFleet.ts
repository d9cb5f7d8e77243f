import * as callCoordinator from '../call/CallCoordinator';
import * as serviceBalancer from '../call/ServiceBalancer';
import type * as callTypes from '../call/Types';
import * as heapClock from '../HeapClock';
import * as checkBudget from '../policy/CheckBudget';
import * as leastInFlightPolicy from '../policy/LeastInFlightPolicy';
import * as subset from '../policy/Subset';
import * as seededRandom from '../SeededRandom';
import * as requestSuspicion from '../suspicion/RequestSuspicion';
import type * as tableTypes from '../table/Types';
import * as fixtures from './Fixtures';
import * as placedServer from './PlacedServer';
import * as placingLinks from './PlacingLinks';

const DOMAINS = ['a', 'b', 'c'];

/** Load of a virtual fleet: one service, calls at random daemons. */
export interface IPlacingLoad {
  readonly daemons: number;
  readonly servers: number;
  readonly slots: number;
  /** Calls of the whole fleet per second. */
  readonly callsPerSecond: number;
  /** Mean service time on an idle server. */
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  /** Time on the network, one way, between failure domains. */
  readonly oneWayMs: number;
  readonly slowFraction?: number;
  readonly service?: Partial<tableTypes.IServiceRow>;
}

interface IPlacingDaemon {
  readonly balancer: serviceBalancer.ServiceBalancer;
  readonly coordinator: callCoordinator.CallCoordinator;
  readonly links: placingLinks.PlacingLinks;
}

/** What callers got and what servers saw since the last `restart` of the counts. */
export interface IPlacingResult extends placingLinks.IPlacingCounts {
  readonly calls: number;
  readonly answered: number;
  readonly inTime: number;
  readonly rejected: number;
  /** Arrivals at each server. */
  readonly arrivals: readonly number[];
}

/** Daemons and servers of one service on a virtual clock. */
export class PlacingFleet {
  public readonly clock = new heapClock.HeapClock();

  public readonly servers = new Map<string, placedServer.PlacedServer>();

  public readonly daemons: IPlacingDaemon[] = [];

  private readonly random: seededRandom.SeededRandom;

  private readonly counts = { opened: 0, checks: 0, sends: 0, cancelled: 0 };

  private calls = 0;

  private answered = 0;

  private inTime = 0;

  private rows: tableTypes.IServerRow[] = [];

  private table: tableTypes.ITable;

  public constructor(
    private readonly load: IPlacingLoad,
    seed = 1,
  ) {
    this.random = new seededRandom.SeededRandom(seed);
    this.table = this.makeTable();
    Array.from({ length: load.servers }, () => this.addServer());
    Array.from({ length: load.daemons }, (_, index) => this.addDaemon(index));
    this.applyTable();
    this.scheduleCall();
  }

  public run(seconds: number): void {
    this.clock.runUntil(this.clock.monotonicMs() + 1_000 * seconds);
  }

  public get result(): IPlacingResult {
    const servers = [...this.servers.values()];
    return {
      ...this.counts,
      calls: this.calls,
      answered: this.answered,
      inTime: this.inTime,
      rejected: servers.reduce((sum, { rejected }) => sum + rejected, 0),
      arrivals: servers.map(({ arrivals }) => arrivals),
    };
  }

  /** Sets all counts to 0. */
  public restart(): void {
    Object.assign(this.counts, { opened: 0, checks: 0, sends: 0, cancelled: 0 });
    this.calls = 0;
    this.answered = 0;
    this.inTime = 0;
    this.servers.forEach((server) => Object.assign(server, { arrivals: 0, rejected: 0 }));
  }

  /** Adds a server, which daemons learn with the next `applyTable`. Returns its address. */
  public addServer(): string {
    const index = this.servers.size;
    const address = `10.1.${index >> 8}.${index & 255}:80`;
    const { slots, slowFraction = 0.3 } = this.load;
    const behaviour = { slots, slowFraction, slowFactor: 5, spellMs: 150 };
    this.servers.set(address, new placedServer.PlacedServer(behaviour, this.clock, this.random));
    const failureDomain = DOMAINS[index % DOMAINS.length] as string;
    const row = { service: 'status', address, failureDomain, weight: 100, slots };
    this.rows = [...this.rows, { ...row, maxConnections: 1_180 }];
    return address;
  }

  /** Removes a server from the list. */
  public removeServer(address: string): void {
    this.rows = this.rows.filter((row) => row.address !== address);
  }

  public applyTable(): void {
    this.table = this.makeTable();
    const service = this.table.services.get('status') as tableTypes.IServiceRow;
    this.daemons.forEach(({ balancer }, index) =>
      balancer.update(this.table, service, subset.subsetOf(this.rows, this.nameOf(index))),
    );
  }

  private nameOf(index: number): string {
    return `10.2.${index >> 8}.${index & 255}:1`;
  }

  private makeTable(): tableTypes.ITable {
    const table = fixtures.makeTable({ healthPath: '/health', ...this.load.service });
    return {
      ...table,
      maxDaemons: this.load.daemons,
      servers: new Map([['status', this.rows]]),
    };
  }

  private addDaemon(index: number): void {
    const { clock, random, load } = this;
    const failureDomain = DOMAINS[index % DOMAINS.length] as string;
    const oneWayMsTo = (row: tableTypes.IServerRow) =>
      row.failureDomain === failureDomain ? 0.1 : load.oneWayMs;
    const links = new placingLinks.PlacingLinks(
      this.servers,
      oneWayMsTo,
      () => this.nextWorkMs(),
      this.counts,
      clock,
    );
    const budget = new checkBudget.CheckBudget(clock);
    budget.setRate(42 * load.servers, load.daemons);
    const policy = new leastInFlightPolicy.LeastInFlightPolicy(random);
    const rankOf = (address: string) => subset.rendezvousRank(this.nameOf(index), address);
    const options = { checker: links, budget, random, failureDomain, rankOf };
    const balancer = new serviceBalancer.ServiceBalancer(policy, clock, true, options);
    // The daemon's share of an allowance of 200 extra requests in 10 s.
    balancer.setRetryReserve(160 / load.daemons, 4 / load.daemons);
    const suspicion = new requestSuspicion.RequestSuspicion(clock);
    const coordinator = new callCoordinator.CallCoordinator(links, suspicion, clock);
    this.daemons.push({ balancer, coordinator, links });
  }

  private scheduleCall(): void {
    const gapMs = (-Math.log(1 - this.random.next()) * 1_000) / this.load.callsPerSecond;
    this.clock.setTimer(gapMs, () => {
      this.startCall();
      this.scheduleCall();
    });
  }

  private startCall(): void {
    const { clock, load, table } = this;
    const daemon = this.daemons[this.random.nextInteger(this.daemons.length)] as IPlacingDaemon;
    const nowMs = clock.monotonicMs();
    const objectiveAtMs = nowMs + load.objectiveMs;
    const call: callTypes.ICall = {
      requestId: 'request',
      service: table.services.get('status') as tableTypes.IServiceRow,
      table,
      method: 'GET',
      path: '/',
      headers: [],
      body: Object.assign(new Uint8Array(), { workMs: this.nextWorkMs() }),
      deadlineMs: nowMs + load.deadlineMs,
      depth: 0,
      retriesSpent: 0,
      fingerprint: `call ${this.calls}`,
      objectiveAtMs,
      maxAttempts: 2,
    };
    this.calls += 1;
    daemon.coordinator.start(call, daemon.balancer, ({ kind }) => {
      if (kind !== 'answered') return;
      this.answered += 1;
      if (clock.monotonicMs() <= objectiveAtMs) this.inTime += 1;
    });
  }

  /** Service times spread by a third, and 3 in 100 are seven times as long. */
  private nextWorkMs(): number {
    const spread = 0.7 + 0.6 * this.random.next();
    const tail = this.random.next() < 0.03 ? 7 : 1;
    return (this.load.workMs * spread * tail) / 1.18;
  }
}
