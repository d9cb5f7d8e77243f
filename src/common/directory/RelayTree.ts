import * as subset from '../policy/Subset';

/** Daemons per reader of the directory. */
const DAEMONS_PER_READER = 100;

/** Minimum number of readers, so that the failure of one leaves no follower without updates. */
const MIN_READERS = 2;

/** Daemons per relay; bounds the notices that one relay sends. */
const DAEMONS_PER_RELAY = 10;

/** Minimum number of daemons that read as soon as the readers seem to fail. */
const MIN_STANDBYS = 8;

/** Daemons up to which the readers notify all others, without relays. */
const MAX_DAEMONS_WITHOUT_RELAYS = 32;

/** Key of the rendezvous hash. Any constant gives each daemon the same rank on all daemons. */
const RANK_KEY = 'readers';

/** A daemon of the fleet: its peer address and its failure domain. */
export interface IRelayMember {
  readonly address: string;
  readonly failureDomain: string;
}

interface IRankedMember extends IRelayMember {
  readonly rank: number;
}

/**
 * Place of this daemon in the distribution of the directory: readers read the directory service,
 * relays follow readers, and all others follow relays. Every daemon ranks the members by the same
 * hash and follows only members of lower rank, so that no two daemons follow each other, even while
 * their member lists differ.
 */
export class RelayTree {
  private readonly ranks = new Map<string, number>();

  private readonly affinities = new Map<string, number>();

  private isReaderNow = true;

  private isStandbyNow = false;

  private sourceAddresses: readonly string[] = [];

  private standbyAddresses: readonly string[] = [];

  private peers: readonly IRelayMember[] = [];

  public constructor(private readonly own: IRelayMember) {}

  /** Whether this daemon reads the directory service. */
  public get isReader(): boolean {
    return this.isReaderNow;
  }

  /**
   * Whether this daemon reads the directory service as soon as the readers seem to fail, before all
   * others do: the relays, or the first followers of the readers in a fleet without relays.
   */
  public get isStandby(): boolean {
    return this.isStandbyNow;
  }

  /** Whether a member ranks before this daemon. */
  public precedes(address: string): boolean {
    const rank = this.ranks.get(address) ?? Number.POSITIVE_INFINITY;
    return rank < (this.ranks.get(this.own.address) ?? Number.NEGATIVE_INFINITY);
  }

  /**
   * Addresses of further members to follow while the readers seem to fail, most preferred first. Some
   * of them may follow this daemon. A confirmation has the age of its read wherever it goes, so that a
   * circle does not renew it.
   */
  public get standbySources(): readonly string[] {
    return this.standbyAddresses;
  }

  /** Addresses of the members that this daemon may follow, most preferred first. */
  public get sources(): readonly string[] {
    return this.sourceAddresses;
  }

  /** Determines the place anew. @param peers All live daemons except this one. */
  public update(peers: readonly IRelayMember[]): void {
    const isSame =
      peers.length === this.peers.length &&
      peers.every(({ address }, index) => address === this.peers[index]?.address);
    if (isSame) return;
    this.peers = peers;
    const ranked = this.rankMembers(peers);
    const position = ranked.findIndex(({ address }) => address === this.own.address);
    const readerCount = Math.max(MIN_READERS, Math.ceil(ranked.length / DAEMONS_PER_READER));
    const relayCount =
      ranked.length <= MAX_DAEMONS_WITHOUT_RELAYS
        ? 0
        : Math.ceil(ranked.length / DAEMONS_PER_RELAY);
    this.isReaderNow = position < readerCount;
    const isFollower = relayCount > 0 && position >= readerCount + relayCount;
    const sources = isFollower
      ? ranked.slice(readerCount, readerCount + relayCount)
      : ranked.slice(0, this.isReaderNow ? 0 : readerCount);
    this.sourceAddresses = this.order(sources);
    const standbyEnd = readerCount + Math.max(relayCount, MIN_STANDBYS);
    this.isStandbyNow = position >= readerCount && position < standbyEnd;
    this.standbyAddresses = this.order(
      ranked
        .slice(readerCount, standbyEnd)
        .filter((member) => member.address !== this.own.address && !sources.includes(member)),
    );
  }

  private rankMembers(peers: readonly IRelayMember[]): IRankedMember[] {
    const members = [this.own, ...peers];
    const current = new Set(members.map(({ address }) => address));
    [this.ranks, this.affinities].forEach((cache) =>
      [...cache.keys()]
        .filter((address) => !current.has(address))
        .forEach((address) => cache.delete(address)),
    );
    return members
      .map((member) => ({
        ...member,
        rank: RelayTree.cached(this.ranks, RANK_KEY, member.address),
      }))
      .sort((left, right) => left.rank - right.rank);
  }

  /** Orders by the hash with this daemon, after one source in the same failure domain. */
  private order(sources: readonly IRelayMember[]): string[] {
    const affinityOf = ({ address }: IRelayMember) =>
      RelayTree.cached(this.affinities, this.own.address, address);
    const ordered = [...sources].sort((left, right) => affinityOf(left) - affinityOf(right));
    const near = ordered.find(({ failureDomain }) => failureDomain === this.own.failureDomain);
    const rest = ordered.filter((source) => source !== near);
    return [...(near === undefined ? [] : [near]), ...rest].map(({ address }) => address);
  }

  private static cached(cache: Map<string, number>, key: string, address: string): number {
    const known = cache.get(address);
    if (known !== undefined) return known;
    const rank = subset.rendezvousRank(key, address);
    cache.set(address, rank);
    return rank;
  }
}
