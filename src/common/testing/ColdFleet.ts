import * as serviceBalancer from '../call/ServiceBalancer';
import * as manualClock from '../ManualClock';
import * as checkBudget from '../policy/CheckBudget';
import * as leastInFlightPolicy from '../policy/LeastInFlightPolicy';
import * as coldServers from '../restraint/ColdServers';
import * as serverRestraints from '../restraint/ServerRestraints';
import type * as restraintTypes from '../restraint/Types';
import * as seededRandom from '../SeededRandom';
import type * as tableTypes from '../table/Types';
import * as fixtures from './Fixtures';

const STEP_MS = 20;
const SECOND_MS = 1_000;

/** Parameters of a virtual fleet. */
export interface IColdFleetOptions {
  readonly daemonCount: number;
  readonly serverCount: number;
  readonly requestsPerSecond: number;
  readonly terms: restraintTypes.IColdTerms;
  readonly seed: number;
}

/** A daemon of a virtual fleet. */
export interface IColdDaemon {
  readonly address: string;
  readonly cold: coldServers.ColdServers;
  readonly balancer: serviceBalancer.ServiceBalancer;
}

/**
 * Daemons and servers in virtual time. Servers state in the replies to checks, which take no time,
 * for how long they stay cold.
 */
export class ColdFleet {
  public readonly clock = new manualClock.ManualClock();

  public readonly daemons: IColdDaemon[];

  /** Addresses of the servers. */
  public readonly servers: readonly string[];

  /** Times at which requests reached each server while it was cold. */
  public readonly arrivalsMs: ReadonlyMap<string, number[]>;

  /** Requests that got a server. */
  public served = 0;

  /** Delays after which refused callers were told to return. */
  public readonly retryDelaysMs: (number | undefined)[] = [];

  /** Whether servers state in checks that they are cold. */
  public areChecksTelling = true;

  /** Returns the daemons that a daemon knows now, by their positions. */
  public membersOf: (position: number) => readonly number[] = () => [...this.daemons.keys()];

  /** Positions of the daemons that are seed peers. */
  public seeds: readonly number[] = [0, 1, 2, 3];

  private readonly coldUntilMs = new Map<string, number>();

  private readonly table: tableTypes.ITable;

  private readonly random: seededRandom.SeededRandom;

  private startedCount = 0;

  private due = 0;

  public constructor(private readonly options: IColdFleetOptions) {
    const { serverCount, requestsPerSecond, daemonCount, seed } = options;
    this.random = new seededRandom.SeededRandom(seed);
    const table = fixtures.makeTable({ healthPath: '/health' }, serverCount);
    const rows = (table.servers.get('status') ?? []).map((row) => ({
      ...row,
      ...{ instance: row.address, startedAtMs: 1 },
      coldRequestsPerSecond: requestsPerSecond,
    }));
    this.table = { ...table, servers: new Map([['status', rows]]) };
    this.servers = rows.map(({ address }) => address);
    this.arrivalsMs = new Map(this.servers.map((address) => [address, []]));
    this.daemons = Array.from({ length: daemonCount }, (_, position) => this.start(position));
  }

  /** Replaces daemons by ones that have just started and know no members. */
  public restart(positions: readonly number[]): void {
    positions.forEach((position) => {
      this.daemons[position]?.cold.dispose();
      this.daemons[position] = this.start(position);
    });
  }

  /** Makes servers cold from now on. */
  public makeCold(servers: readonly string[], durationMs: number): void {
    const untilMs = this.clock.monotonicMs() + durationMs;
    servers.forEach((address) => this.coldUntilMs.set(address, untilMs));
  }

  /** Tells all daemons through the directory for how long a server stays cold. */
  public publish(address: string, sequence: number): void {
    const registration = {
      ...{ id: address, service: 'status', address, failureDomain: 'a', slots: 3 },
      ...{ state: 'ready' as const, startedAtMs: 1, sequence, coldMs: this.remainingMs(address) },
    };
    this.daemons.forEach(({ cold }) =>
      cold.recordRegistrations([registration], () => this.options.requestsPerSecond),
    );
  }

  /**
   * Plays callers that come at random to random ones of the given daemons.
   * @param chooses Whether callers want any server, or only the first one.
   */
  public play(
    durationMs: number,
    requestsPerSecond: number,
    positions: readonly number[] = [...this.daemons.keys()],
    chooses: 'any' | 'first' = 'any',
  ): void {
    const endMs = this.clock.monotonicMs() + durationMs;
    while (this.clock.monotonicMs() < endMs) {
      this.tellMembers(positions);
      this.due += (requestsPerSecond * STEP_MS) / SECOND_MS;
      for (; this.due >= 1; this.due -= 1) {
        const position = positions[this.random.nextInteger(positions.length)] ?? 0;
        this.call(this.daemons[position] as IColdDaemon, chooses);
      }
      this.clock.advance(STEP_MS);
    }
  }

  /** Returns the most requests that reached any cold server within one second, both ends included. */
  public get mostInOneSecond(): number {
    return Math.max(...[...this.arrivalsMs.values()].map((timesMs) => this.mostInWindow(timesMs)));
  }

  /** Requests that reached cold servers. */
  public get arrivalCount(): number {
    return [...this.arrivalsMs.values()].reduce((sum, { length }) => sum + length, 0);
  }

  /** Clears what was counted. */
  public resetCounts(): void {
    this.arrivalsMs.forEach((timesMs) => timesMs.splice(0));
    this.retryDelaysMs.splice(0);
    this.served = 0;
  }

  private mostInWindow(timesMs: readonly number[]): number {
    let start = 0;
    return timesMs.reduce((most, timeMs, index) => {
      while (timeMs - (timesMs[start] as number) > SECOND_MS) start += 1;
      return Math.max(most, index - start + 1);
    }, 0);
  }

  private start(position: number): IColdDaemon {
    const { terms, seed } = this.options;
    const { clock } = this;
    this.startedCount += 1;
    const random = new seededRandom.SeededRandom(1_000 * seed + this.startedCount);
    const address = this.addressOf(position);
    const cold = new coldServers.ColdServers(address, () => terms, clock, random);
    const restraints = new serverRestraints.ServerRestraints(address, clock, random, cold);
    const budget = new checkBudget.CheckBudget(clock);
    budget.setRate(1_000_000, 1);
    const balancer = new serviceBalancer.ServiceBalancer(
      new leastInFlightPolicy.LeastInFlightPolicy(random),
      clock,
      true,
      {
        checker: {
          hasIdleConnection: () => true,
          check: (row, _path, _timeoutMs, onReply) => {
            const coldMs = this.areChecksTelling ? this.remainingMs(row.address) : undefined;
            const signals = { limit: 'none' as const, isLeaving: false, pauseMs: 0, coldMs };
            restraints.record(row, signals, 'check');
            onReply({ kind: 'ready', report: undefined });
          },
        },
        failureDomain: `domain-${position % 3}`,
        ...{ budget, random, rankOf: () => random.next() },
      },
      restraints,
    );
    balancer.update(this.table, this.table.services.get('status') as tableTypes.IServiceRow);
    return { address, cold, balancer };
  }

  private addressOf(position: number): string {
    return `10.1.${position >> 8}.${position & 255}:1`;
  }

  private remainingMs(address: string): number {
    return Math.max(0, (this.coldUntilMs.get(address) ?? 0) - this.clock.monotonicMs());
  }

  /** Each daemon looks at the members once a second, at a time of its own. */
  private tellMembers(positions: readonly number[]): void {
    const step = Math.round(this.clock.monotonicMs() / STEP_MS);
    const interval = SECOND_MS / STEP_MS;
    const seeds = this.seeds.map((position) => this.addressOf(position));
    positions
      .filter((position) => (step + position) % interval === 0)
      .forEach((position) => {
        const members = this.membersOf(position).map((member) => this.addressOf(member));
        this.daemons[position]?.cold.setMembers(members, seeds);
      });
  }

  private call({ balancer }: IColdDaemon, chooses: 'any' | 'first'): void {
    const excluded = new Set(chooses === 'any' ? [] : this.servers.slice(1));
    const call = { table: this.table, objectiveAtMs: undefined };
    balancer.select(excluded, call, (selected) => {
      if (selected.kind !== 'server') {
        this.retryDelaysMs.push(balancer.retryDelayMs());
        return;
      }
      const { server } = selected;
      balancer.recordEnd(balancer.recordStart(server), 'answered');
      this.served += 1;
      if (this.remainingMs(server.address) > 0) {
        this.arrivalsMs.get(server.address)?.push(this.clock.monotonicMs());
      }
    });
  }
}
