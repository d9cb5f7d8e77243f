import type * as callTypes from '../call/Types';
import type * as types from '../Types';
import type * as checkBudget from './CheckBudget';
import type * as policyTypes from './Types';
import type * as serverState from './ServerState';

/** Servers asked at once. One after the other costs the fewest questions, and a few milliseconds. */
const SERVERS_PER_ROUND = 1;

/** Rounds before the best server seen so far is taken. If a third is slow, 1 in 700 finds no other. */
const MAX_ROUNDS = 6;

/** Rounds when the servers are asked again after a pause. */
const MAX_REPEATED_ROUNDS = 2;

/** Rounds when the budget for questions is scarce. */
const MAX_SCARCE_ROUNDS = 3;

/**
 * Share of the time to the objective for which a call may be held while every server that was asked
 * would miss it. A slow request takes a slot from several normal ones, and a caller that is refused
 * by then still has time to be served by another daemon.
 */
const HOLD_SHARE = 1 / 8;

/** Pause before the servers are asked again, in milliseconds; a tenth of a slow block. */
const REPEAT_PAUSE_MS = 15;

/** Time for the replies of one round, in milliseconds: a round trip between failure domains. */
const ROUND_TIMEOUT_MS = 6;

/** Age up to which a reply serves further calls, in milliseconds; short beside a slow block. */
const REPLY_KEPT_MS = 10;

/** Time after which a reply is no longer waited for at all, in milliseconds. */
const CHECK_TIMEOUT_MS = 1_000;

/** Occupancy of the slots from which on a server may work more slowly. */
const BUSY_SHARE = 0.8;

/** Expected duration of work on a server that is nearly full, relative to an idle one. */
const BUSY_FACTOR = 1.5;

/** Addition to the random rank of a server that needs a new connection; below 1, so that each is used. */
const NEW_CONNECTION_PENALTY = 0.5;

/** Cost up to which a server is taken without waiting for the other replies of the round. */
const GOOD_COST = 1.25;

/** Factors of the cost of a server that is full, says that it fails, or did not reply. */
const FULL_FACTOR = 20;
const UNHEALTHY_FACTOR = 50;
const SILENT_FACTOR = 200;

/** Factor of the cost for a server that has just started and is still slow. */
const COLD_FACTOR = 1.2;

/** Weight of the share of failed attempts: at one half, a server costs three times as much. */
const FAILURE_WEIGHT = 4;

/** How the servers of one service are asked. */
export interface IFreshSelectionContext {
  readonly checker: callTypes.IServerChecker;
  readonly budget: checkBudget.CheckBudget;
  readonly clock: types.IClock;
  readonly random: types.IRandom;
  /** Failure domain of this daemon. Its servers are asked first. */
  readonly failureDomain: string;
  readonly healthPath: string;
  /** Time that an idle server takes for a request, once that is known. */
  readonly usualWorkMs: number | undefined;
  /** Monotonic time until which an answer is of full use, if that is stated. */
  readonly objectiveAtMs: number | undefined;
  readonly onReply: (server: serverState.ServerState, reply: policyTypes.CheckReply) => void;
}

interface IKnown {
  readonly reply: policyTypes.CheckReply;
  readonly atMs: number;
}

/** What a selection ends with. */
export type Selected =
  | {
      readonly kind: 'server';
      readonly server: serverState.ServerState;
      /** Expected duration relative to that on an idle server. */
      readonly cost: number;
    }
  /** No server accepts work. */
  | { readonly kind: 'none' }
  /** On every server that was asked, the request would wait beyond its objective. */
  | { readonly kind: 'overloaded' };

/** What selections of one service share. */
export class FreshReplies {
  private readonly known = new Map<string, IKnown>();

  public set(address: string, reply: policyTypes.CheckReply, atMs: number): void {
    this.known.set(address, { reply, atMs });
  }

  /** The reply of a server if it is still fresh. */
  public get(address: string, nowMs: number): policyTypes.CheckReply | undefined {
    const known = this.known.get(address);
    if (known === undefined) return undefined;
    if (nowMs - known.atMs <= REPLY_KEPT_MS) return known.reply;
    this.known.delete(address);
    return undefined;
  }
}

/** Requests that the server would hold after the dispatch. */
function loadOf(server: serverState.ServerState, reply: policyTypes.CheckReply): number {
  const report = 'report' in reply ? reply.report : undefined;
  return (report?.inFlight ?? 0) + (report?.queued ?? 0) + server.startedSinceReport + 1;
}

/** Expected cost of a dispatch: the duration relative to that on an idle server. */
export function costOf(
  server: serverState.ServerState,
  reply: policyTypes.CheckReply | undefined,
): number {
  if (reply === undefined || reply.kind === 'silent') {
    return SILENT_FACTOR * (1 + server.inFlight) * (1 + FAILURE_WEIGHT * server.failureShare);
  }
  if (reply.kind === 'replaced' || reply.kind === 'unreachable') return Number.POSITIVE_INFINITY;
  const load = loadOf(server, reply);
  const busy = load / server.slots > BUSY_SHARE ? BUSY_FACTOR : 1;
  const wait = Math.max(0, load - server.slots) / server.slots;
  const condition = { ready: 1, full: FULL_FACTOR, unhealthy: UNHEALTHY_FACTOR }[reply.kind];
  const failures = 1 + FAILURE_WEIGHT * server.failureShare;
  const cold = server.warmth < 1 ? COLD_FACTOR : 1;
  return (reply.report?.slowdown ?? 1) * (busy + wait) * condition * failures * cold;
}

/**
 * Chooses the server for one attempt by asking a few of them right before the dispatch. Servers
 * turn slow for fractions of a second, and the slowness at the start of a request multiplies all
 * of its work, so that reports on earlier answers are stale by then.
 */
export class FreshSelection implements types.IDisposable {
  private remaining: serverState.ServerState[];

  /** Monotonic time until which the call may be held while every server is busy. */
  private readonly holdUntilMs: number;

  private readonly seen = new Map<serverState.ServerState, policyTypes.CheckReply | undefined>();

  private rounds = 0;

  private maxRounds: number;

  private pending = 0;

  private timer: types.IDisposable | undefined;

  private ended = false;

  /** @param onSelected Called once, unless disposed before. */
  public constructor(
    candidates: readonly serverState.ServerState[],
    private readonly replies: FreshReplies,
    private readonly context: IFreshSelectionContext,
    private readonly onSelected: (selected: Selected) => void,
  ) {
    this.remaining = this.order(candidates);
    const { isScarce } = context.budget;
    this.maxRounds = isScarce ? MAX_SCARCE_ROUNDS : MAX_ROUNDS;
    const nowMs = context.clock.monotonicMs();
    this.holdUntilMs =
      nowMs + (isScarce ? 0 : HOLD_SHARE) * ((context.objectiveAtMs ?? nowMs) - nowMs);
  }

  public begin(): void {
    this.rounds += 1;
    const asked = this.remaining.splice(0, SERVERS_PER_ROUND);
    if (asked.length === 0) {
      this.end();
      return;
    }
    this.pending = asked.length;
    this.timer = this.context.clock.setTimer(ROUND_TIMEOUT_MS, () => this.endRound());
    // When servers are asked again, what they said before holds until they reply.
    asked
      .filter((server) => !this.seen.has(server))
      .forEach((server) => this.seen.set(server, undefined));
    asked.forEach((server) => this.ask(server));
  }

  public dispose(): void {
    this.ended = true;
    this.timer?.dispose();
  }

  private ask(server: serverState.ServerState): void {
    const { checker, budget, clock, healthPath, onReply } = this.context;
    const round = this.rounds;
    const known = this.replies.get(server.address, clock.monotonicMs());
    if (known !== undefined) {
      this.take(server, known, round);
      return;
    }
    if (!budget.take()) {
      this.endRound();
      return;
    }
    checker.check(server.row, healthPath, CHECK_TIMEOUT_MS, (reply) => {
      this.replies.set(server.address, reply, clock.monotonicMs());
      onReply(server, reply);
      this.take(server, reply, round);
    });
  }

  private take(
    server: serverState.ServerState,
    reply: policyTypes.CheckReply,
    round: number,
  ): void {
    if (this.ended) return;
    this.seen.set(server, reply);
    if (costOf(server, reply) <= GOOD_COST) {
      this.finish({ kind: 'server', server, cost: costOf(server, reply) });
      return;
    }
    if (round !== this.rounds) return;
    this.pending -= 1;
    if (this.pending === 0) this.endRound();
  }

  private endRound(): void {
    if (this.ended) return;
    this.timer?.dispose();
    const best = this.best();
    const isGood = best !== undefined && costOf(best, this.seen.get(best)) <= GOOD_COST;
    if (isGood || this.rounds >= this.maxRounds) this.end();
    else this.begin();
  }

  private end(): void {
    const server = this.best();
    if (server === undefined) {
      this.finish({ kind: 'none' });
      return;
    }
    const reply = this.seen.get(server);
    const cost = costOf(server, reply);
    const mayHold = this.context.clock.monotonicMs() < this.holdUntilMs;
    if (!this.missesObjective(reply, cost)) this.finish({ kind: 'server', server, cost });
    else if (mayHold) this.askAgain();
    else if (reply !== undefined && loadOf(server, reply) > server.slots) {
      this.finish({ kind: 'overloaded' });
    } else this.finish({ kind: 'server', server, cost });
  }

  /** Asks the servers again after a pause: a slot may become free, or a slow server fast again. */
  private askAgain(): void {
    this.timer = this.context.clock.setTimer(REPEAT_PAUSE_MS, () => {
      this.remaining = this.order([...this.seen.keys()]);
      this.rounds = 0;
      this.maxRounds = MAX_REPEATED_ROUNDS;
      this.begin();
    });
  }

  private missesObjective(reply: policyTypes.CheckReply | undefined, cost: number): boolean {
    const { usualWorkMs, objectiveAtMs, clock } = this.context;
    if (reply === undefined || usualWorkMs === undefined || objectiveAtMs === undefined) {
      return false;
    }
    return clock.monotonicMs() + cost * usualWorkMs > objectiveAtMs;
  }

  private finish(selected: Selected): void {
    if (this.ended) return;
    this.dispose();
    this.onSelected(selected);
  }

  private best(): serverState.ServerState | undefined {
    let best: serverState.ServerState | undefined;
    let lowest = Number.POSITIVE_INFINITY;
    this.seen.forEach((reply, server) => {
      const cost = costOf(server, reply);
      if (cost >= lowest) return;
      lowest = cost;
      best = server;
    });
    return best;
  }

  /**
   * Servers of the own failure domain first, in random order but rather those with an idle
   * connection. The others follow in an order that each daemon keeps, so that it holds connections
   * to few of them.
   */
  private order(candidates: readonly serverState.ServerState[]): serverState.ServerState[] {
    const { random, failureDomain, checker } = this.context;
    const near = candidates.filter((server) => server.failureDomain === failureDomain);
    const far = candidates.filter((server) => server.failureDomain !== failureDomain);
    const ranked = near.map((server) => {
      const penalty = checker.hasIdleConnection(server.address) ? 0 : NEW_CONNECTION_PENALTY;
      return { server, rank: random.next() + penalty };
    });
    ranked.sort((left, right) => left.rank - right.rank);
    return [
      ...ranked.map(({ server }) => server),
      ...[...far].sort((left, right) => left.rank - right.rank),
    ];
  }
}
