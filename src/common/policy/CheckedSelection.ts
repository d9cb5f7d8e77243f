import type * as callTypes from '../call/Types';
import type * as types from '../Types';
import type * as checkBudget from './CheckBudget';
import * as dispatchCost from './DispatchCost';
import type * as checkReplyCache from './CheckReplyCache';
import type * as policyTypes from './Types';
import type * as serverState from './ServerState';

/**
 * Maximum number of rounds, each of which checks one server.
 * Checking one after the other needs the fewest checks and costs a few milliseconds. If a third of
 * the servers are slow, 1 call in 700 finds only slow ones.
 */
const MAX_ROUNDS = 6;

/** Maximum number of rounds while the check budget is scarce. */
const MAX_SCARCE_ROUNDS = 3;

/** Timeout of one round, in milliseconds: a network round trip between failure domains. */
const ROUND_TIMEOUT_MS = 6;

/** Timeout of a check, in milliseconds. A reply after the end of its round still counts. */
const CHECK_TIMEOUT_MS = 1_000;

/**
 * Addition to the random rank of a server that needs a new connection; below 1, so that such
 * servers are still selected.
 */
const NEW_CONNECTION_PENALTY = 0.5;

/** Cost up to which a server is selected without further checks. */
const ACCEPTABLE_COST = 1.25;

/** Dependencies and parameters of a selection. */
export interface ICheckedSelectionContext {
  readonly checker: callTypes.IServerChecker;
  readonly budget: checkBudget.CheckBudget;
  readonly clock: types.IClock;
  readonly random: types.IRandom;
  /** Failure domain of this daemon, whose servers are checked first. */
  readonly failureDomain: string;
  readonly healthPath: string;
  readonly onReply: (server: serverState.ServerState, reply: policyTypes.CheckReply) => void;
}

/** Result of a check of servers. */
export type CheckResult =
  /** No server accepts work. */
  | { readonly kind: 'none' }
  | {
      /** `acceptable`: one of the servers has room, and none needs to be preferred to it. */
      readonly kind: 'acceptable' | 'busy';
      /** The servers that were checked, with their replies; undefined for those without one yet. */
      readonly checked: ReadonlyMap<serverState.ServerState, policyTypes.CheckReply | undefined>;
    };

/**
 * Checks a few candidates for one attempt, immediately before the dispatch. Servers become slow for
 * fractions of a second, and the slowdown at the start of a request applies to all of its work, so
 * that load reports from earlier answers are too old.
 */
export class CheckedSelection implements types.IDisposable {
  private readonly unchecked: serverState.ServerState[];

  private readonly replies = new Map<serverState.ServerState, policyTypes.CheckReply | undefined>();

  private rounds = 0;

  private readonly maxRounds: number;

  private timer: types.IDisposable | undefined;

  private ended = false;

  /**
   * @param onEnd Called once, unless the selection is disposed first.
   * @param maxRounds Maximum number of servers to check.
   */
  public constructor(
    candidates: readonly serverState.ServerState[],
    private readonly replyCache: checkReplyCache.CheckReplyCache,
    private readonly context: ICheckedSelectionContext,
    private readonly onEnd: (result: CheckResult) => void,
    maxRounds = MAX_ROUNDS,
  ) {
    this.unchecked = this.sortByPreference(candidates);
    this.maxRounds = context.budget.isScarce ? Math.min(MAX_SCARCE_ROUNDS, maxRounds) : maxRounds;
  }

  /** Starts the next round, or decides if all candidates have been checked. */
  public begin(): void {
    this.rounds += 1;
    const server = this.unchecked.shift();
    if (server === undefined) {
      this.decide();
      return;
    }
    this.timer = this.context.clock.setTimer(ROUND_TIMEOUT_MS, () => this.endRound());
    this.replies.set(server, undefined);
    this.check(server);
  }

  public dispose(): void {
    this.ended = true;
    this.timer?.dispose();
  }

  private check(server: serverState.ServerState): void {
    const { checker, budget, clock, healthPath, onReply } = this.context;
    const round = this.rounds;
    const cached = this.replyCache.get(server.address, clock.monotonicMs());
    if (cached !== undefined) {
      this.handleReply(server, cached, round);
      return;
    }
    if (!budget.take()) {
      this.endRound();
      return;
    }
    checker.check(server.row, healthPath, CHECK_TIMEOUT_MS, (reply) => {
      this.replyCache.set(server.address, reply, clock.monotonicMs());
      onReply(server, reply);
      this.handleReply(server, reply, round);
    });
  }

  private handleReply(
    server: serverState.ServerState,
    reply: policyTypes.CheckReply,
    round: number,
  ): void {
    if (this.ended) return;
    this.replies.set(server, reply);
    if (dispatchCost.costOf(server, reply) <= ACCEPTABLE_COST) {
      this.finish({ kind: 'acceptable', checked: this.replies });
      return;
    }
    if (round === this.rounds) this.endRound();
  }

  private endRound(): void {
    if (this.ended) return;
    this.timer?.dispose();
    if (this.lowestCost <= ACCEPTABLE_COST || this.rounds >= this.maxRounds) this.decide();
    else this.begin();
  }

  private decide(): void {
    const cost = this.lowestCost;
    if (!Number.isFinite(cost)) this.finish({ kind: 'none' });
    else {
      const kind = cost <= ACCEPTABLE_COST ? 'acceptable' : 'busy';
      this.finish({ kind, checked: this.replies });
    }
  }

  private finish(result: CheckResult): void {
    if (this.ended) return;
    this.dispose();
    this.onEnd(result);
  }

  private get lowestCost(): number {
    let lowest = Number.POSITIVE_INFINITY;
    this.replies.forEach((reply, server) => {
      lowest = Math.min(lowest, dispatchCost.costOf(server, reply));
    });
    return lowest;
  }

  /**
   * Sorts servers of this daemon's failure domain first, in random order with a preference for
   * those with an idle connection. The others follow in an order that is fixed for each daemon, so
   * that it keeps connections to only a few of them.
   */
  private sortByPreference(
    candidates: readonly serverState.ServerState[],
  ): serverState.ServerState[] {
    const { random, failureDomain, checker } = this.context;
    const local = candidates.filter((server) => server.failureDomain === failureDomain);
    const remote = candidates.filter((server) => server.failureDomain !== failureDomain);
    const ranked = local.map((server) => {
      const penalty = checker.hasIdleConnection(server.address) ? 0 : NEW_CONNECTION_PENALTY;
      return { server, rank: random.next() + penalty };
    });
    ranked.sort((left, right) => left.rank - right.rank);
    return [
      ...ranked.map(({ server }) => server),
      ...[...remote].sort((left, right) => left.rank - right.rank),
    ];
  }
}
