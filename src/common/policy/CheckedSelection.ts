import type * as callTypes from '../call/Types';
import type * as types from '../Types';
import type * as checkBudget from './CheckBudget';
import * as dispatchCost from './DispatchCost';
import type * as checkReplyCache from './CheckReplyCache';
import type * as serverOrder from './ServerOrder';
import type * as policyTypes from './Types';
import type * as serverState from './ServerState';

/**
 * Maximum number of rounds, each of which checks one server, before the best one is selected.
 * Checking one after the other needs the fewest checks and costs a few milliseconds. If a third of
 * the servers are slow, 1 call in 700 finds only slow ones.
 */
const MAX_ROUNDS = 6;

/** Maximum number of rounds of a recheck. */
const MAX_RECHECK_ROUNDS = 2;

/** Maximum number of rounds while the check budget is scarce. */
const MAX_SCARCE_ROUNDS = 3;

/**
 * Fraction of the time until the latency objective for which a call may be held while every checked
 * server would miss it. A slow request occupies a slot for as long as several normal ones, and a
 * caller whose call is then refused still has time to be served by another daemon.
 */
const MAX_HOLD_FRACTION = 1 / 8;

/** Delay before a recheck, in milliseconds; a tenth of a server's typical slow period. */
const RECHECK_DELAY_MS = 15;

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
  /** Service time of a request on an idle server, once it is known. */
  readonly idleServiceTimeMs: number | undefined;
  /** Monotonic time of the latency objective of the call, if it has one. */
  readonly objectiveAtMs: number | undefined;
  readonly onReply: (server: serverState.ServerState, reply: policyTypes.CheckReply) => void;
}

/** Result of a selection. */
export type SelectionResult =
  | {
      readonly kind: 'server';
      readonly server: serverState.ServerState;
      /** Expected duration relative to that on an idle server. */
      readonly cost: number;
    }
  /** No server accepts work. */
  | { readonly kind: 'none' }
  /** On every checked server, the request would miss its objective. */
  | { readonly kind: 'overloaded' };

/**
 * Selects the server for one attempt by checking a few candidates immediately before the dispatch.
 * Servers become slow for fractions of a second, and the slowdown at the start of a request applies
 * to all of its work, so load reports from earlier answers are too old.
 */
export class CheckedSelection implements types.IDisposable {
  private unchecked: serverState.ServerState[];

  /** Monotonic time until which the call may be held while no server can meet the objective. */
  private readonly holdUntilMs: number;

  private readonly replies = new Map<serverState.ServerState, policyTypes.CheckReply | undefined>();

  private rounds = 0;

  /** Number of connections that the checks of this selection opened after the first round. */
  private openings = 0;

  private maxRounds: number;

  private timer: types.IDisposable | undefined;

  private ended = false;

  /** @param onSelected Called once, unless the selection is disposed first. */
  public constructor(
    candidates: readonly serverState.ServerState[],
    private readonly replyCache: checkReplyCache.CheckReplyCache,
    private readonly context: ICheckedSelectionContext,
    private readonly onSelected: (selected: SelectionResult) => void,
  ) {
    this.unchecked = context.order.sort(candidates);
    const { isScarce } = context.budget;
    this.maxRounds = isScarce ? MAX_SCARCE_ROUNDS : MAX_ROUNDS;
    const nowMs = context.clock.monotonicMs();
    this.holdUntilMs =
      nowMs + (isScarce ? 0 : MAX_HOLD_FRACTION) * ((context.objectiveAtMs ?? nowMs) - nowMs);
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
    // During a recheck, the previous reply of a server counts until the new one arrives.
    if (!this.replies.has(server)) this.replies.set(server, undefined);
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
      this.finish({ kind: 'server', server, cost: dispatchCost.costOf(server, reply) });
      return;
    }
    if (round === this.rounds) this.endRound();
  }

  private endRound(): void {
    if (this.ended) return;
    this.timer?.dispose();
    const best = this.lowestCostServer();
    const isAcceptable =
      best !== undefined && dispatchCost.costOf(best, this.replies.get(best)) <= ACCEPTABLE_COST;
    if (isAcceptable || this.rounds >= this.maxRounds) this.decide();
    else this.begin();
  }

  private decide(): void {
    const server = this.lowestCostServer();
    if (server === undefined) {
      this.finish({ kind: 'none' });
      return;
    }
    const reply = this.replies.get(server);
    const cost = dispatchCost.costOf(server, reply);
    const canHold = this.context.clock.monotonicMs() < this.holdUntilMs;
    if (!this.missesObjective(reply, cost)) this.finish({ kind: 'server', server, cost });
    else if (canHold) this.scheduleRecheck();
    else if (reply !== undefined && dispatchCost.loadOf(server, reply) > server.slots) {
      this.finish({ kind: 'overloaded' });
    } else this.finish({ kind: 'server', server, cost });
  }

  /** Checks the servers again after a delay: a slot may become free, or a slow server recover. */
  private scheduleRecheck(): void {
    this.timer = this.context.clock.setTimer(RECHECK_DELAY_MS, () => {
      this.unchecked = this.context.order.sort([...this.replies.keys()]);
      this.openings = 0;
      this.rounds = 0;
      this.maxRounds = MAX_RECHECK_ROUNDS;
      this.begin();
    });
  }

  private missesObjective(reply: policyTypes.CheckReply | undefined, cost: number): boolean {
    const { idleServiceTimeMs, objectiveAtMs, clock } = this.context;
    if (reply === undefined || idleServiceTimeMs === undefined || objectiveAtMs === undefined) {
      return false;
    }
    return clock.monotonicMs() + cost * idleServiceTimeMs > objectiveAtMs;
  }

  private finish(selected: SelectionResult): void {
    if (this.ended) return;
    this.dispose();
    this.onSelected(selected);
  }

  private lowestCostServer(): serverState.ServerState | undefined {
    let best: serverState.ServerState | undefined;
    let lowest = Number.POSITIVE_INFINITY;
    this.replies.forEach((reply, server) => {
      const cost = dispatchCost.costOf(server, reply);
      if (cost >= lowest) return;
      lowest = cost;
      best = server;
    });
    return best;
  }
}
