import type * as callTypes from '../call/Types';
import type * as types from '../Types';
import type * as checkBudget from './CheckBudget';
import * as dispatchCost from './DispatchCost';
import type * as checkReplyCache from './CheckReplyCache';
import type * as serverOrder from './ServerOrder';
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

/** Cost up to which a server is selected without further checks. */
const ACCEPTABLE_COST = 1.25;

/** Dependencies and parameters of a selection. */
export interface ICheckedSelectionContext {
  readonly checker: callTypes.IServerChecker;
  readonly budget: checkBudget.CheckBudget;
  readonly clock: types.IClock;
  readonly order: serverOrder.ServerOrder;
  readonly healthPath: string;
  readonly onReply: (server: serverState.ServerState, reply: policyTypes.CheckReply) => void;
}

/** Servers that were checked, with their replies; undefined for those without one yet. */
export type CheckedServers = ReadonlyMap<
  serverState.ServerState,
  policyTypes.CheckReply | undefined
>;

/** Result of a check of servers. */
export type CheckResult =
  /** No server accepts work. */
  | { readonly kind: 'none'; readonly checked: CheckedServers }
  | {
      /** `acceptable`: one of the servers has room, and none needs to be preferred to it. */
      readonly kind: 'acceptable' | 'busy';
      readonly checked: CheckedServers;
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

  /** Number of connections that the checks of this selection opened after the first round. */
  private openings = 0;

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
    this.unchecked = context.order.sort(candidates);
    this.maxRounds = context.budget.isScarce ? Math.min(MAX_SCARCE_ROUNDS, maxRounds) : maxRounds;
  }

  /** Starts the next round, or decides if all candidates have been checked. */
  public begin(): void {
    this.rounds += 1;
    const { order } = this.context;
    const server = order.takeNext(this.unchecked, this.openings, this.hasReply);
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
    const { checker, budget, clock, healthPath, order, onReply } = this.context;
    const round = this.rounds;
    const cached = this.replyCache.get(server.address, clock.monotonicMs());
    if (cached !== undefined) {
      this.handleReply(server, cached, round);
      return;
    }
    const onJoined = (reply: policyTypes.CheckReply) => this.handleReply(server, reply, round);
    if (this.replyCache.join(server.address, onJoined)) return;
    if (!budget.take()) {
      this.endRound();
      return;
    }
    if (this.rounds > 1 && order.needsConnection(server)) this.openings += 1;
    this.replyCache.begin(server.address);
    checker.check(server.row, healthPath, CHECK_TIMEOUT_MS, (reply) => {
      const joined = this.replyCache.set(server.address, reply, clock.monotonicMs());
      onReply(server, reply);
      this.handleReply(server, reply, round);
      joined.forEach((listener) => listener(reply));
    });
  }

  /** Whether a server has replied that accepts requests. */
  private get hasReply(): boolean {
    return [...this.replies.values()].some((reply) => reply?.kind === 'ready');
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
    if (!Number.isFinite(cost)) this.finish({ kind: 'none', checked: this.replies });
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
}
