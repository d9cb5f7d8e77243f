import * as callTerms from './CallTerms';
import type * as schedulingTypes from './Types';

/** Turns in a row that other kinds get while a kind waits, so that it gets a quarter of them. */
const MAX_TURNS_OF_OTHERS = 3;

/** Call that waits for room on a server. */
export interface IWaitingCall {
  readonly call: schedulingTypes.ScheduledCall;
  readonly terms: schedulingTypes.ICallTerms;
  /** Addresses of servers that the call has tried. */
  readonly excluded: ReadonlySet<string>;
  readonly onSelected: (selected: schedulingTypes.SelectionResult) => void;
}

/**
 * The waiting calls of one service, in the order in which they get room: first those that can still
 * meet their objective, then late ones. Among each, the more urgent kind first; within a kind the
 * call whose objective is nearest, and of late ones, whose worth no longer falls, the shortest. A
 * kind that was passed over three times in a row comes first once.
 */
export class WaitingCalls<TCall extends IWaitingCall = IWaitingCall> {
  private readonly calls = new Set<TCall>();

  /** Number of turns of other kinds since the last one of each waiting kind. */
  private readonly passedOver = new Map<number, number>();

  public get size(): number {
    return this.calls.size;
  }

  /** Earliest time at which a call is given up; infinite if none waits. */
  public get nextGiveUpMs(): number {
    let earliestMs = Number.POSITIVE_INFINITY;
    this.calls.forEach(({ terms }) => {
      if (terms.giveUpAtMs < earliestMs) earliestMs = terms.giveUpAtMs;
    });
    return earliestMs;
  }

  public add(call: TCall): void {
    this.calls.add(call);
    const { priority } = call.terms;
    if (!this.passedOver.has(priority)) this.passedOver.set(priority, 0);
  }

  /** Removes a call. Has no effect if it does not wait. */
  public delete(call: TCall): void {
    if (!this.calls.delete(call)) return;
    const { priority } = call.terms;
    const isWaiting = [...this.calls].some(({ terms }) => terms.priority === priority);
    if (!isWaiting) this.passedOver.delete(priority);
  }

  /** Returns the first call in the order that accepts what is offered, if there is one. */
  public first(nowMs: number, accepts: (call: TCall) => boolean = () => true): TCall | undefined {
    let first: TCall | undefined;
    this.calls.forEach((call) => {
      const isBefore = first === undefined || this.compare(call, first, nowMs) < 0;
      if (isBefore && accepts(call)) first = call;
    });
    return first;
  }

  /** Returns all calls in the order in which they get room. */
  public inOrder(nowMs: number): readonly TCall[] {
    return [...this.calls].sort((left, right) => this.compare(left, right, nowMs));
  }

  /** Removes a call that gets room, and counts the turn. */
  public take(call: TCall): void {
    const { priority } = call.terms;
    this.passedOver.forEach((turns, kind) =>
      this.passedOver.set(kind, kind === priority ? 0 : turns + 1),
    );
    this.delete(call);
  }

  private compare(left: IWaitingCall, right: IWaitingCall, nowMs: number): number {
    return (
      this.classOf(left.terms, nowMs) - this.classOf(right.terms, nowMs) ||
      left.terms.priority - right.terms.priority ||
      this.withinKind(left.terms, right.terms, nowMs)
    );
  }

  private classOf(terms: schedulingTypes.ICallTerms, nowMs: number): number {
    const turns = this.passedOver.get(terms.priority) ?? 0;
    if (turns >= MAX_TURNS_OF_OTHERS) return 0;
    return callTerms.standingOf(terms, nowMs) === 'in-time' ? 1 : 2;
  }

  private withinKind(
    left: schedulingTypes.ICallTerms,
    right: schedulingTypes.ICallTerms,
    nowMs: number,
  ): number {
    const isInTime = (terms: schedulingTypes.ICallTerms) =>
      callTerms.standingOf(terms, nowMs) === 'in-time';
    if (isInTime(left) !== isInTime(right)) return isInTime(left) ? -1 : 1;
    if (isInTime(left)) return left.latestInTimeMs - right.latestInTimeMs;
    return (left.workMs ?? 0) - (right.workMs ?? 0) || left.giveUpAtMs - right.giveUpAtMs;
  }
}
