import type * as checkedSelector from '../call/CheckedSelector';
import type * as checkedSelection from '../policy/CheckedSelection';
import type * as serverState from '../policy/ServerState';
import type * as types from '../Types';
import * as callTerms from './CallTerms';
import * as recentPriorities from './RecentPriorities';
import * as recheckPace from './RecheckPace';
import * as refusalRule from './RefusalRule';
import * as roomRule from './RoomRule';
import * as serverChoice from './ServerChoice';
import * as turnRate from './TurnRate';
import type * as schedulingTypes from './Types';
import * as usualTimes from './UsualTimes';
import * as waitingCalls from './WaitingCalls';
import * as workEstimates from './WorkEstimates';

/**
 * Servers that rechecks find out of reach, one after the other, before the waiting calls end: more than
 * the smallest home set, which a failure may take as a whole.
 */
const MAX_UNREACHABLE_SERVERS = 4;

/** Age up to which the load report of an answer describes its server, in milliseconds. */
const FRESH_REPORT_MS = 10;

/** Fraction of the less urgent calls that wait as if they were urgent, so that no kind starves. */
const EXEMPT_FRACTION = 1 / 8;

/**
 * Service time assumed before the first answer, relative to the time until the latency objective.
 * Without it, a daemon that has just started would send requests to servers with long queues.
 */
const ASSUMED_SERVICE_SHARE = 1 / 3;

interface IEntry extends waitingCalls.IWaitingCall {
  readonly excluded: ReadonlySet<string>;
  /** First check of servers for this call. */
  firstCheck: types.IDisposable | undefined;
  /** Whether the expected work was observed, and not assumed. */
  readonly isWorkKnown: boolean;
  ended: boolean;
  /** Whether it may take the last slot of a server although it is less urgent than others. */
  isExempt: boolean;
}

/**
 * Schedules the calls of one service at this daemon. A call for which the first check finds a server
 * with room is dispatched at once. All others wait here: one timer rechecks servers for all of them,
 * and the room that is found goes to the first call in the order that takes it.
 */
export class CallScheduler {
  private readonly work = new workEstimates.WorkEstimates();

  private readonly usualTimes = new usualTimes.UsualTimes();

  private readonly waiting = new waitingCalls.WaitingCalls<IEntry>();

  private readonly rate: turnRate.TurnRate;

  private readonly priorities: recentPriorities.RecentPriorities;

  private readonly pace: recheckPace.RecheckPace;

  private readonly refusals: refusalRule.RefusalRule;

  private timer: types.IDisposable | undefined;

  private timerAtMs = 0;

  private isRechecking = false;

  private hasOnePriority = false;

  /** Servers out of reach since a recheck last reached one. */
  private readonly unreachable = new Set<serverState.ServerState>();

  /** Time that callers had used up when their calls came, which retries of a call do not change. */
  private readonly elapsedMs = new WeakMap<schedulingTypes.ScheduledCall, number>();

  /** Servers without room in the latest rechecks. */
  private readonly rechecked = new Set<serverState.ServerState>();

  public constructor(
    private readonly selector: checkedSelector.CheckedSelector,
    private readonly servers: schedulingTypes.IServerSource,
    private readonly options: Pick<checkedSelector.ICheckedSelectorOptions, 'budget' | 'random'>,
    private readonly clock: types.IClock,
  ) {
    this.rate = new turnRate.TurnRate(clock);
    this.priorities = new recentPriorities.RecentPriorities(clock);
    this.pace = new recheckPace.RecheckPace(options.budget);
    this.refusals = new refusalRule.RefusalRule(this.rate, options.random);
  }

  /** Sets whether all calls have the same priority, so that none gives way to another. */
  public setOnePriority(hasOnePriority: boolean): void {
    this.hasOnePriority = hasOnePriority;
  }

  /** Number of calls that wait for room. */
  public get size(): number {
    return this.waiting.size;
  }

  /**
   * Selects a server for a call, at once or when one has room.
   * @param onSelected Called once, possibly synchronously, unless the selection is disposed first.
   */
  public enter(
    call: schedulingTypes.ScheduledCall,
    excluded: ReadonlySet<string>,
    onSelected: (selected: schedulingTypes.SelectionResult) => void,
  ): types.IDisposable {
    const nowMs = this.clock.monotonicMs();
    const remainingMs = (call.deadlineMs ?? Number.POSITIVE_INFINITY) - nowMs;
    const elapsedMs = this.elapsedMs.get(call) ?? this.usualTimes.elapsedMs(call, remainingMs);
    this.elapsedMs.set(call, elapsedMs);
    const knownWorkMs = this.work.of(call);
    const workMs = knownWorkMs ?? CallScheduler.assumedWorkMs(call, nowMs);
    const terms = this.hasOnePriority
      ? callTerms.plainTermsOf(call, workMs, nowMs)
      : callTerms.termsOf(call, workMs, nowMs, elapsedMs);
    this.priorities.record(terms.priority);
    const entry = {
      isWorkKnown: knownWorkMs !== undefined,
      ...{ call, terms, excluded: new Set(excluded), onSelected },
      ...{ firstCheck: undefined, ended: false, isExempt: false },
    };
    this.checkFirst(entry);
    return { dispose: () => this.withdraw(entry) };
  }

  /** Records the duration of an answered attempt, divided by the cost of its dispatch. */
  public recordServiceTime(
    call: Pick<schedulingTypes.ScheduledCall, 'route' | 'priority'> | undefined,
    serviceTimeMs: number,
  ): void {
    this.work.record(call, serviceTimeMs);
  }

  /** Returns the expected service time of a call on an idle server, if it was observed. */
  public expectedWorkMs(
    call: Pick<schedulingTypes.ScheduledCall, 'route' | 'priority'>,
  ): number | undefined {
    return this.work.of(call);
  }

  /** Offers a server, at which an attempt of this daemon has ended, if it has just told its load. */
  public offerAfterEnd(server: serverState.ServerState): void {
    if (this.waiting.size === 0 || server.report === undefined) return;
    if (this.clock.monotonicMs() - server.reportedAtMs > FRESH_REPORT_MS) return;
    this.offer(new Map([[server, { kind: 'ready', report: server.report }]]));
  }

  private static assumedWorkMs(
    { objectiveAtMs }: schedulingTypes.ScheduledCall,
    nowMs: number,
  ): number | undefined {
    if (objectiveAtMs === undefined) return undefined;
    return ASSUMED_SERVICE_SHARE * Math.max(0, objectiveAtMs - nowMs);
  }

  private withdraw(entry: IEntry): void {
    const waits = entry;
    waits.ended = true;
    waits.firstCheck?.dispose();
    this.waiting.delete(entry);
    if (this.waiting.size === 0) this.stopTimer();
  }

  /** @param passedOver Addresses of servers that want no requests now. */
  private checkFirst(entry: IEntry, passedOver: ReadonlySet<string> = new Set()): void {
    const waits = entry;
    const candidates = this.servers
      .candidates(entry.excluded, entry.call.table)
      .filter(({ address }) => !passedOver.has(address));
    waits.firstCheck = this.selector.check(candidates, undefined, (result) =>
      this.endFirstCheck(entry, result, passedOver),
    );
    if (waits.ended) waits.firstCheck.dispose();
  }

  private endFirstCheck(
    entry: IEntry,
    result: checkedSelection.CheckResult,
    passedOver: ReadonlySet<string>,
  ): void {
    if (entry.ended) return;
    if (result.kind === 'none') {
      this.end(entry, { kind: 'none' });
      return;
    }
    const choice = this.firstChoice(entry, result);
    if (choice !== undefined && this.servers.isUnavailable(choice.server)) {
      // The check told of a restraint, or another call took the permit for the server meanwhile.
      this.checkFirst(entry, new Set([...passedOver, choice.server.address]));
    } else if (choice !== undefined && this.mayGoFirst(choice)) {
      this.end(entry, { kind: 'server', server: choice.server, cost: choice.cost });
    } else {
      this.wait(entry);
      this.offer(result.checked);
      this.refuse();
      this.schedule();
    }
  }

  /** Returns the server that a call takes unless another call comes first. */
  private firstChoice(
    entry: IEntry,
    result: Exclude<checkedSelection.CheckResult, { kind: 'none' }>,
  ): serverChoice.IServerChoice | undefined {
    const nowMs = this.clock.monotonicMs();
    const { terms } = entry;
    const choices = serverChoice.byCost(result.checked);
    const [best] = choices;
    // Without a reply or a known service time, waiting would tell nothing more.
    if (result.kind === 'acceptable' || best === undefined) return best;
    const isJudged = entry.isWorkKnown || best.reply?.kind === 'ready';
    if (best.reply === undefined || terms.workMs === undefined || !isJudged)
      return { ...best, isUnjudged: true };
    if (!Number.isFinite(terms.objectiveAtMs)) return best;
    return choices.find((choice) => this.takes(entry, choice, nowMs));
  }

  private mayGoFirst({ isUnjudged = false, reply }: serverChoice.IServerChoice): boolean {
    // While calls wait, a server that was not checked is probably full.
    return this.waiting.size === 0 || (isUnjudged && reply !== undefined);
  }

  private wait(entry: IEntry): void {
    if (this.waiting.size === 0) {
      this.rate.begin();
      this.pace.quicken();
      this.unreachable.clear();
      this.rechecked.clear();
    }
    const waits = entry;
    waits.isExempt = this.options.random.next() < EXEMPT_FRACTION;
    this.waiting.add(entry);
  }

  /** Gives the room on servers to the first calls that take it. */
  private offer(checked: schedulingTypes.CheckedServers): void {
    serverChoice.byCost(checked).forEach(({ server, reply }) => {
      let entry = this.firstFor(server, reply);
      while (entry !== undefined) {
        this.waiting.take(entry);
        this.rate.recordTurn();
        this.pace.quicken();
        this.end(entry, serverChoice.toSelected(server, reply));
        entry = this.firstFor(server, reply);
      }
    });
  }

  private firstFor(
    server: serverState.ServerState,
    reply: schedulingTypes.Reply,
  ): IEntry | undefined {
    if (this.waiting.size === 0 || this.servers.isUnavailable(server)) return undefined;
    const nowMs = this.clock.monotonicMs();
    const choice = serverChoice.choiceOf(server, reply);
    return this.waiting.first(
      nowMs,
      (entry) =>
        this.takes(entry, choice, nowMs) &&
        this.servers.candidates(entry.excluded, entry.call.table).includes(server),
    );
  }

  private takes(
    { terms, isExempt }: IEntry,
    choice: serverChoice.IServerChoice,
    nowMs: number,
  ): boolean {
    const mostUrgent = isExempt ? terms.priority : this.priorities.mostUrgent;
    return roomRule.takes(terms, choice, mostUrgent, nowMs);
  }

  private schedule(): void {
    if (this.waiting.size === 0) this.stopTimer();
    if (this.waiting.size === 0 || this.isRechecking) return;
    const nowMs = this.clock.monotonicMs();
    const giveUpAtMs = Math.max(nowMs + 1, this.waiting.nextGiveUpMs);
    const dueMs = this.timer === undefined ? nowMs + this.pace.next() : this.timerAtMs;
    const atMs = Math.min(dueMs, giveUpAtMs);
    if (this.timer !== undefined && this.timerAtMs <= atMs) return;
    this.timer?.dispose();
    this.timerAtMs = atMs;
    this.timer = this.clock.setTimer(atMs - nowMs, () => this.recheck());
  }

  private stopTimer(): void {
    this.timer?.dispose();
    this.timer = undefined;
  }

  /** Checks servers for the first call that may be sent to any. */
  private recheck(): void {
    this.stopTimer();
    if (this.isRechecking) return;
    const candidates = this.candidatesOfFirst();
    if (candidates === undefined) return;
    this.isRechecking = true;
    const { rounds } = this.pace;
    this.selector.check(this.notRechecked(candidates, rounds), rounds, (result) =>
      this.endRecheck(result),
    );
  }

  /** Returns the servers of the first call that has any, and ends those before it. */
  private candidatesOfFirst(): readonly serverState.ServerState[] | undefined {
    for (;;) {
      const first = this.waiting.first(this.clock.monotonicMs());
      if (first === undefined) return undefined;
      const candidates = this.servers.candidates(first.excluded, first.call.table);
      if (candidates.length > 0) return candidates;
      this.waiting.delete(first);
      this.end(first, { kind: 'none' });
    }
  }

  /** Returns the candidates that were not rechecked lately, so that each gets its turn. */
  private notRechecked(
    candidates: readonly serverState.ServerState[],
    rounds: number,
  ): readonly serverState.ServerState[] {
    const others = candidates.filter((server) => !this.rechecked.has(server));
    if (others.length >= rounds) return others;
    this.rechecked.clear();
    return candidates;
  }

  private endRecheck(result: checkedSelection.CheckResult): void {
    this.isRechecking = false;
    result.checked.forEach((_reply, server) => this.rechecked.add(server));
    if (result.kind === 'none') this.recordUnreachable(result.checked);
    else {
      this.unreachable.clear();
      this.offer(result.checked);
    }
    this.refuse();
    this.schedule();
  }

  /** Ends the waiting calls if all servers seem to be out of reach. */
  private recordUnreachable(checked: checkedSelection.CheckedServers): void {
    checked.forEach((_reply, server) => this.unreachable.add(server));
    const candidates = this.candidatesOfFirst() ?? [];
    const isEach = candidates.every((server) => this.unreachable.has(server));
    if (isEach || this.unreachable.size >= MAX_UNREACHABLE_SERVERS) this.endAll();
  }

  private endAll(): void {
    this.waiting.inOrder(this.clock.monotonicMs()).forEach((entry) => {
      this.waiting.delete(entry);
      this.end(entry, { kind: 'none' });
    });
  }

  /** Refuses the calls that can no longer be served, or not in this order. */
  private refuse(): void {
    const nowMs = this.clock.monotonicMs();
    const waiting = this.waiting.size;
    let callsBefore = 0;
    this.waiting.inOrder(nowMs).forEach((entry) => {
      const cause = this.refusals.causeOf(entry, callsBefore, nowMs);
      if (cause === undefined) {
        callsBefore += 1;
        return;
      }
      const retryAfterMs = this.refusals.retryAfterMs(entry, waiting, nowMs);
      const waitedMs = nowMs - entry.terms.enteredAtMs;
      this.waiting.delete(entry);
      this.end(entry, { kind: 'overloaded', cause, waitedMs, retryAfterMs });
    });
  }

  private end(entry: IEntry, selected: schedulingTypes.SelectionResult): void {
    if (entry.ended) return;
    const waits = entry;
    waits.ended = true;
    entry.onSelected(selected);
  }
}
