import * as seededRandom from '../../src/common/SeededRandom';
import * as virtualFleet from '../../src/common/testing/VirtualFleet';
import * as percentiles from './Percentiles';

const SETTLE_MS = 20_000;
const MEASURED_MS = 20_000;
const SAMPLE_MS = 1_000;

/** Interval at which survivors are asked for those that were killed, and for how long. */
const DETECTION_SAMPLE_MS = 250;
const MAX_DETECTION_MS = 30_000;

/** Daemons that the settings of all others name. */
const SEEDS = 3;

/** Time between two fetches of a member list, and that of one fetch, in milliseconds. */
const FETCH_INTERVAL_MS = 500;
const FETCH_MS = 4;

const PERCENT = 100;

/** What a fleet knows about its members. Percentages are of all pairs of daemons. */
export interface IMembershipFigures {
  readonly wronglySuspectedPercent: number;
  readonly missingPercent: number;
  readonly detectionP99Ms: number;
  /** Bytes of exchanges that each daemon sends in a second. */
  readonly bytesPerSecond: readonly number[];
  /** Exchanges and replies that each daemon sends or receives in a second. */
  readonly messagesPerSecond: readonly number[];
}

/** Pairs of live daemons, and those of which one lacks or suspects the other. */
interface IPairs {
  readonly all: number;
  readonly missing: number;
  readonly suspected: number;
}

/** A fleet that knows its members from seeds and exchanges alone, on the virtual clock. */
class MembershipPlay {
  private readonly fleet: virtualFleet.VirtualFleet;

  private readonly handled = new Map<string, number>();

  public constructor(members: number, seed: number) {
    this.fleet = new virtualFleet.VirtualFleet({ size: members, seed });
    this.fleet.canRead = () => false;
    this.fleet.canReach = (from, to) => {
      [from, to].forEach((address) =>
        this.handled.set(address, (this.handled.get(address) ?? 0) + 1),
      );
      return true;
    };
    const seeds = this.fleet.daemons.slice(0, SEEDS).map(({ address }) => address);
    this.fleet.daemons.forEach((daemon) => this.join(daemon, seeds));
  }

  /** Lets the fleet settle, and measures it while nothing happens. */
  public measureCalm(): Omit<IMembershipFigures, 'detectionP99Ms'> {
    const { fleet } = this;
    fleet.clock.advance(SETTLE_MS);
    this.handled.clear();
    const before = fleet.daemons.map(({ agent }) => agent.budget.totalSpentBytes);
    const samples: IPairs[] = [];
    for (let elapsedMs = 0; elapsedMs < MEASURED_MS; elapsedMs += SAMPLE_MS) {
      fleet.clock.advance(SAMPLE_MS);
      samples.push(this.countPairs());
    }
    const percentOf = (count: keyof IPairs) => {
      const sum = (name: keyof IPairs) =>
        samples.reduce((total, sample) => total + sample[name], 0);
      return (PERCENT * sum(count)) / Math.max(1, sum('all'));
    };
    const seconds = MEASURED_MS / 1_000;
    return {
      wronglySuspectedPercent: percentOf('suspected'),
      missingPercent: percentOf('missing'),
      bytesPerSecond: fleet.daemons.map(
        ({ agent }, index) => (agent.budget.totalSpentBytes - (before[index] ?? 0)) / seconds,
      ),
      messagesPerSecond: fleet.daemons.map(
        ({ address }) => (this.handled.get(address) ?? 0) / seconds,
      ),
    };
  }

  /** Kills daemons, and returns the time until nearly all survivors know of nearly all of them. */
  public measureDetection(killShare: number, seed: number): number {
    const { fleet } = this;
    const random = new seededRandom.SeededRandom(seed);
    const count = Math.max(1, Math.round(killShare * fleet.daemons.length));
    const killed = [...fleet.daemons].sort(() => random.next() - 0.5).slice(0, count);
    killed.forEach((daemon) => fleet.stop(daemon));
    const dead = new Set(killed.map(({ address }) => address));
    const detectedMs = new Map<string, number>();
    for (let ms = 0; ms < MAX_DETECTION_MS; ms += DETECTION_SAMPLE_MS) {
      fleet.clock.advance(DETECTION_SAMPLE_MS);
      fleet.daemons.forEach(({ address, agent }) => {
        const live = new Set(agent.members.livePeers);
        dead.forEach((other) => {
          const pair = `${address} ${other}`;
          if (live.has(other)) detectedMs.delete(pair);
          else if (!detectedMs.has(pair)) detectedMs.set(pair, ms + DETECTION_SAMPLE_MS);
        });
      });
      if (detectedMs.size === dead.size * fleet.daemons.length) break;
    }
    const undetected = dead.size * fleet.daemons.length - detectedMs.size;
    const late = Array.from({ length: undetected }, () => MAX_DETECTION_MS);
    return percentiles.percentile([...detectedMs.values(), ...late], 0.99);
  }

  private countPairs(): IPairs {
    const others = this.fleet.daemons.length - 1;
    const known = this.fleet.daemons.map(({ agent }) => agent.members.statuses);
    return {
      all: known.length * others,
      missing: known.reduce((sum, statuses) => sum + others - statuses.length, 0),
      suspected: known.flat().filter(({ state }) => state === 'suspected').length,
    };
  }

  /** Makes a daemon fetch the member list of a peer, as it does while it lacks members. */
  private join({ address, agent }: virtualFleet.IVirtualDaemon, seeds: readonly string[]): void {
    const { clock, daemons } = this.fleet;
    const others = seeds.filter((seed) => seed !== address);
    const vm = { role: 'daemon', failureDomain: '', state: 'live' } as const;
    agent.members.updateVmList({
      revision: 0,
      vms: others.map((seed) => ({ ...vm, address: seed })),
    });
    let nextFetchMs = 0;
    agent.onReport((report) => {
      if (!report.lacksMembers || clock.monotonicMs() < nextFetchMs) return;
      nextFetchMs = clock.monotonicMs() + FETCH_INTERVAL_MS;
      clock.setTimer(FETCH_MS, () => {
        const peer = daemons.find((other) => other.address === report.address);
        peer?.agent.members.statuses
          .filter(({ state }) => state === 'live')
          .forEach(({ record }) => agent.members.merge(record));
      });
    });
  }
}

/** @param killShare Share of the daemons that are killed at once; at least one is. */
export function playMembership(
  members: number,
  seed: number,
  killShare: number,
): IMembershipFigures {
  const play = new MembershipPlay(members, seed);
  const calm = play.measureCalm();
  return { ...calm, detectionP99Ms: members > 1 ? play.measureDetection(killShare, seed) : 0 };
}
