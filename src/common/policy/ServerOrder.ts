import type * as types from '../Types';
import * as rateMeter from './RateMeter';
import type * as serverState from './ServerState';

/** Smallest size of the home set. Two of the servers may be slow or busy at the moment. */
const MIN_HOME_SERVERS = 3;

/**
 * Size of the home set for each call per second. A call checks 1.7 servers on average if 4 of 10 are
 * slow or busy. Each of the home set is then checked every 3 s, so that 1 gap in 20 exceeds 9 s, and
 * servers that close connections after 10 s seldom do so.
 */
const HOME_SERVERS_PER_CALL = 5;

/** Addition to the random rank of a home server that needs a new connection; below 1. */
const NEW_CONNECTION_PENALTY = 0.5;

/**
 * Utilization by this daemon's own requests above which a server is checked last: it would show no
 * free capacity, and the check would need a further connection.
 */
const OWN_UTILIZATION = 0.8;

/** Maximum number of connections opened after the first round of a selection, once a server replied. */
const MAX_OPENINGS = 1;

/** Dependencies and parameters of the order. */
export interface IServerOrderOptions {
  readonly clock: types.IClock;
  readonly random: types.IRandom;
  /** Failure domain of this daemon. */
  readonly failureDomain: string;
  readonly hasIdleConnection: (address: string) => boolean;
  /** Whether a server owes the reply to a check. */
  readonly owesReply: (address: string) => boolean;
}

function byRank(left: serverState.ServerState, right: serverState.ServerState): number {
  return left.rank - right.rank;
}

/**
 * Order in which this daemon checks the servers of one service. Those with the lowest ranks in its
 * own failure domain, as many as its rate of calls keeps connected, are its home set and come first.
 * Ranks differ between daemons, so that the home sets spread over all servers.
 */
export class ServerOrder {
  private readonly calls: rateMeter.RateMeter;

  public constructor(private readonly options: IServerOrderOptions) {
    this.calls = new rateMeter.RateMeter(options.clock);
  }

  /** Number of servers in the home set. */
  public get homeSize(): number {
    return Math.max(MIN_HOME_SERVERS, Math.floor(HOME_SERVERS_PER_CALL * this.calls.perSecond));
  }

  /** Records that a call selects a server, which determines the size of the home set. */
  public recordCall(): void {
    this.calls.record();
  }

  /** Sorts the candidates of a selection, the one to be checked first at the front. */
  public sort(candidates: readonly serverState.ServerState[]): serverState.ServerState[] {
    const open = candidates.filter((server) => !this.isOccupied(server));
    const occupied = candidates.filter((server) => this.isOccupied(server));
    return [...this.sortOpen(open), ...this.sortOpen(occupied)];
  }

  /**
   * Removes and returns the next server to be checked.
   * @param openings Number of connections that the selection has opened after its first round.
   * @param hasReply Whether a server has replied that accepts requests.
   */
  public takeNext(
    unchecked: serverState.ServerState[],
    openings: number,
    hasReply: boolean,
  ): serverState.ServerState | undefined {
    const mayOpen = !hasReply || openings < MAX_OPENINGS;
    if (mayOpen) return unchecked.shift();
    const index = unchecked.findIndex((server) => !this.needsConnection(server));
    return index < 0 ? undefined : unchecked.splice(index, 1)[0];
  }

  /** Whether a check of the server opens a connection. */
  public needsConnection({ address }: serverState.ServerState): boolean {
    return !this.options.hasIdleConnection(address) && !this.options.owesReply(address);
  }

  private sortOpen(candidates: readonly serverState.ServerState[]): serverState.ServerState[] {
    const { failureDomain } = this.options;
    const local = candidates.filter((server) => server.failureDomain === failureDomain);
    const remote = candidates.filter((server) => server.failureDomain !== failureDomain);
    local.sort(byRank);
    remote.sort(byRank);
    const { homeSize } = this;
    const home = this.shuffle(local.slice(0, homeSize));
    // The first of the other failure domains is not passed over while it needs a connection.
    return [
      ...home,
      ...this.connectedFirst(local.slice(homeSize)),
      ...remote.slice(0, 1),
      ...this.connectedFirst(remote.slice(1)),
    ];
  }

  private shuffle(servers: readonly serverState.ServerState[]): serverState.ServerState[] {
    const { random } = this.options;
    return servers
      .map((server) => {
        const penalty = this.needsConnection(server) ? NEW_CONNECTION_PENALTY : 0;
        return { server, rank: random.next() + penalty };
      })
      .sort((left, right) => left.rank - right.rank)
      .map(({ server }) => server);
  }

  private connectedFirst(servers: readonly serverState.ServerState[]): serverState.ServerState[] {
    return [
      ...servers.filter((server) => !this.needsConnection(server)),
      ...servers.filter((server) => this.needsConnection(server)),
    ];
  }

  private isOccupied(server: serverState.ServerState): boolean {
    const isFull = server.inFlight + 1 > OWN_UTILIZATION * server.slots;
    return isFull || this.options.owesReply(server.address);
  }
}
