import * as emitter from '../Emitter';
import * as dispatchCost from '../policy/DispatchCost';
import * as ratioBudget from '../policy/RatioBudget';
import type * as selectionPolicy from '../policy/SelectionPolicy';
import * as serverState from '../policy/ServerState';
import type * as policyTypes from '../policy/Types';
import type * as serverRestraints from '../restraint/ServerRestraints';
import * as callScheduler from '../scheduling/CallScheduler';
import * as serverChoice from '../scheduling/ServerChoice';
import type * as schedulingTypes from '../scheduling/Types';
import type * as tableTypes from '../table/Types';
import type * as types from '../Types';
import * as admissionQueue from './AdmissionQueue';
import * as concurrencyLimit from './ConcurrencyLimit';
import * as checkedSelector from './CheckedSelector';
import * as hedgeDelay from './HedgeDelay';
import * as lossChecks from './LossChecks';
import * as serverEligibility from './ServerEligibility';
import type * as callTypes from './Types';

/**
 * Hedge permits earned by a nested call, relative to an outermost one. A hedge repeats all calls
 * nested in it, so equal budgets at 14 levels would multiply the number of innermost calls.
 */
const NESTED_HEDGE_SHARE = 1 / 16;

/** Time without any reply of a server after which it may have ended, in milliseconds. */
const SILENCE_MS = 500;

/** Age up to which a load report tells how long a request takes, in milliseconds. */
const FRESH_REPORT_MS = 50;

/** Additional permits that a failed retry costs, so that a failing service gets fewer retries. */
const FAILED_RETRY_SURCHARGE = 2;

function isSameProcess(known: tableTypes.IServerRow, row: tableTypes.IServerRow): boolean {
  return known.instance === row.instance && known.startedAtMs === row.startedAtMs;
}

const NO_SELECTION: types.IDisposable = { dispose: () => undefined };

/** Attempt that the balancer counts as in flight. */
export interface IStartedAttempt {
  readonly server: serverState.ServerState;
  readonly number: number;
  readonly startMs: number;
  /** Expected duration relative to that on an idle server, if a recent report tells it. */
  readonly relativeDuration: number | undefined;
  readonly call: StartedCall | undefined;
}

type StartedCall = Pick<callTypes.ICall, 'route' | 'priority'>;

/** Balances the calls of one service at this daemon: state, selection and budgets. */
export class ServiceBalancer {
  public readonly admission: admissionQueue.AdmissionQueue;

  public readonly hedgeDelay = new hedgeDelay.HedgeDelay();

  /** Which servers get new work. */
  public readonly eligibility: serverEligibility.ServerEligibility;

  /** Limits all extra attempts, retries and hedges, to a fraction of first attempts. */
  private readonly retryBudget: ratioBudget.RatioBudget;

  /** Limits hedges to a smaller fraction of first attempts. */
  private readonly hedgeBudget: ratioBudget.RatioBudget;

  private readonly servers = new Map<string, serverState.ServerState>();

  private readonly limit = new concurrencyLimit.ConcurrencyLimit();

  private readonly lossChecks: lossChecks.LossChecks;

  private readonly addedEmitter = new emitter.Emitter<string>();

  private table: tableTypes.ITable | undefined;

  private service = '';

  private maxDaemons = 1;

  private healthPath: string | undefined;

  /** Undefined if the servers are not checked before dispatches. */
  private checkedSelector: checkedSelector.CheckedSelector | undefined;

  /** Schedules the calls if the servers are checked before dispatches. */
  private scheduler: callScheduler.CallScheduler | undefined;

  /** Fires with the address of each server that a table adds. */
  public readonly onServerAdded: types.Event<string> = this.addedEmitter.event;

  /**
   * @param ejectsServers Whether failing servers are ejected. False for benchmark baselines.
   * @param checkOptions Used for services that have a health path.
   * @param restraints What servers state about the requests that they want, if they do.
   */
  public constructor(
    private readonly policy: selectionPolicy.SelectionPolicy,
    private readonly clock: types.IClock,
    ejectsServers = true,
    private readonly checkOptions?: checkedSelector.ICheckedSelectorOptions,
    restraints?: serverRestraints.ServerRestraints,
  ) {
    this.eligibility = new serverEligibility.ServerEligibility(clock, ejectsServers, restraints);
    this.lossChecks = new lossChecks.LossChecks(clock);
    this.retryBudget = new ratioBudget.RatioBudget(0, clock);
    this.hedgeBudget = new ratioBudget.RatioBudget(0, clock);
    this.admission = new admissionQueue.AdmissionQueue(this.limit, clock);
  }

  /** States of the servers of the active table that this daemon uses. */
  public get states(): readonly serverState.ServerState[] {
    return [...this.servers.values()];
  }

  /**
   * Returns the server for the next attempt, or undefined if none is available.
   * @param table Table with which the call started. Servers that only a newer one contains are
   * excluded, so that a call uses one version throughout.
   */
  public choose(
    excluded: ReadonlySet<string>,
    table: tableTypes.ITable | undefined = this.table,
  ): serverState.ServerState | undefined {
    const candidates = this.candidates(excluded, table);
    if (candidates.length === 0) return undefined;
    const chosen = this.policy.choose(candidates, this.clock.monotonicMs());
    return this.servers.get(chosen.address);
  }

  /** Number of calls that wait for room on a server. */
  public get waitingCalls(): number {
    return this.scheduler?.size ?? this.admission.waiting;
  }

  /**
   * Selects the server for the next attempt. Checks a few servers first if the service has a health
   * path, and waits until one has room; otherwise selects like `choose`.
   * @param onSelected Called once, possibly synchronously, unless the selection is disposed first.
   */
  public select(
    excluded: ReadonlySet<string>,
    call: schedulingTypes.ScheduledCall,
    onSelected: (selected: schedulingTypes.SelectionResult) => void,
  ): types.IDisposable {
    if (this.scheduler !== undefined) return this.scheduler.enter(call, excluded, onSelected);
    const server = this.choose(excluded, call.table);
    onSelected(server === undefined ? { kind: 'none' } : { kind: 'server', server, cost: 1 });
    return NO_SELECTION;
  }

  /**
   * Returns the delay after which callers may return if every server has asked for fewer requests, in
   * milliseconds, or undefined if one of them has not.
   */
  public retryDelayMs(): number | undefined {
    return this.eligibility.retryDelayMs(this.states);
  }

  /** Returns why a server gets no new work, or undefined if it is available. */
  public avoidanceOf(address: string): serverEligibility.AvoidanceReason | undefined {
    const server = this.servers.get(address);
    if (server === undefined) return 'weight-zero';
    return this.eligibility.avoidanceOf(server, this.connectionShare(server));
  }

  /**
   * Applies a new table. Servers whose process is still the same keep their statistics.
   * @param rows Servers that this daemon uses; by default all servers of the service.
   */
  public update(
    table: tableTypes.ITable,
    service: tableTypes.IServiceRow,
    rows: readonly tableTypes.IServerRow[] = table.servers.get(service.name) ?? [],
  ): void {
    const isFirst = this.servers.size === 0;
    this.table = table;
    this.service = service.name;
    this.setHealthPath(service.healthPath);
    this.scheduler?.setOnePriority(service.hasOnePriority === true);
    this.maxDaemons = table.maxDaemons;
    this.retryBudget.setFraction(service.retryFraction);
    this.hedgeBudget.setFraction(service.hedgeFraction);
    this.replaceServers(rows, isFirst);
    const totalSlots = rows.reduce((sum, row) => sum + row.slots, 0);
    const connections = this.states.reduce((sum, state) => sum + this.connectionShare(state), 0);
    this.limit.setBounds(totalSlots, connections, table.maxDaemons);
    if (this.checkedSelector !== undefined) this.limit.fixAtMaximum();
  }

  private setHealthPath(healthPath: string | undefined): void {
    if (healthPath === this.healthPath) return;
    this.healthPath = healthPath;
    this.checkedSelector = undefined;
    this.scheduler = undefined;
    const { checkOptions, clock } = this;
    if (checkOptions === undefined || healthPath === undefined) return;
    const selector = new checkedSelector.CheckedSelector(checkOptions, healthPath, clock);
    this.checkedSelector = selector;
    this.scheduler = new callScheduler.CallScheduler(
      selector,
      {
        candidates: (excluded, table) => this.candidates(excluded, table, true),
        isUnavailable: (server) => this.isUnavailable(server),
      },
      checkOptions,
      clock,
    );
  }

  /** Credits the budgets with the permits that the first attempt of a call earns. */
  public recordFirstAttempt(depth: number): void {
    this.retryBudget.deposit();
    this.hedgeBudget.deposit(depth === 0 ? 1 : NESTED_HEDGE_SHARE);
  }

  /**
   * Records the outcome of an answered call that was hedged.
   * @param won Whether a hedge answered before an earlier attempt.
   * @param wastedMs Durations of the hedges that did not answer first.
   */
  public recordHedgeOutcome(won: boolean, wastedMs: readonly number[]): void {
    this.hedgeDelay.recordHedge(won);
    // A permit covers a hedge of mean latency. Longer ones are charged the excess, since hedges of
    // long calls would otherwise add more load than the budget allows.
    wastedMs.forEach((durationMs) =>
      this.hedgeBudget.charge(Math.max(0, this.hedgeDelay.relativeToMean(durationMs) - 1)),
    );
  }

  /** Whether a permit for a retry is left. */
  public get hasRetryPermit(): boolean {
    return this.retryBudget.available;
  }

  /** Takes a permit for a retry. Returns false if the budget is exhausted. */
  public takeRetryPermit(): boolean {
    return this.retryBudget.take();
  }

  /** Records that a call failed despite `count` retries. */
  public recordFailedRetries(count: number): void {
    this.retryBudget.charge(FAILED_RETRY_SURCHARGE * count);
  }

  /** Whether servers are checked before each dispatch. */
  public get checksServers(): boolean {
    return this.checkedSelector !== undefined;
  }

  /** Service time of a call on an idle server, if servers are checked and it is known. */
  public expectedWorkMs(call: StartedCall): number | undefined {
    return this.scheduler?.expectedWorkMs(call);
  }

  /**
   * Checks a few servers once, without waiting for room.
   * @param onChecked Called once with the one of the lowest cost, or with undefined if none accepts
   * work, unless disposed first.
   */
  public checkOnce(
    excluded: ReadonlySet<string>,
    call: Pick<callTypes.ICall, 'table'>,
    onChecked: (choice: serverChoice.IServerChoice | undefined) => void,
  ): types.IDisposable {
    if (this.checkedSelector === undefined) return NO_SELECTION;
    const candidates = this.candidates(excluded, call.table, true);
    return this.checkedSelector.check(candidates, undefined, (result) => {
      const choices = result.kind === 'none' ? [] : serverChoice.byCost(result.checked);
      onChecked(choices.find(({ server }) => !this.isUnavailable(server)));
    });
  }

  /** Whether permits for a hedge are left in both budgets. */
  public get hasHedgePermit(): boolean {
    return this.hedgeBudget.available && this.retryBudget.available;
  }

  /** Takes a permit for a hedge. Returns false if either budget is exhausted. */
  public takeHedgePermit(): boolean {
    // Hedges count against both budgets. Over 14 levels, two separate budgets would multiply.
    return this.hedgeBudget.available && this.retryBudget.take() && this.hedgeBudget.take();
  }

  public recordStart(server: serverState.ServerState, call?: StartedCall): IStartedAttempt {
    const startMs = this.clock.monotonicMs();
    const state = server;
    state.warmth = this.eligibility.warmthOf(server.address);
    this.eligibility.recordStart(server);
    const { report } = state;
    const isFresh = startMs - state.reportedAtMs <= FRESH_REPORT_MS;
    const relativeDuration = isFresh
      ? dispatchCost.durationOf(state, { kind: 'ready', report })
      : undefined;
    return { server, number: state.recordStart(startMs), startMs, relativeDuration, call };
  }

  public recordEnd(attempt: IStartedAttempt, result: policyTypes.AttemptResult): void {
    const nowMs = this.clock.monotonicMs();
    const state = attempt.server;
    const isChecked = this.checkedSelector !== undefined;
    state.recordEnd(attempt.number, this.eligibility.recordEnd(state, result, isChecked), nowMs);
    if (result === 'answered') {
      this.hedgeDelay.recordLatency(nowMs - attempt.startMs);
      const { startMs, relativeDuration, call } = attempt;
      if (relativeDuration !== undefined) {
        this.scheduler?.recordServiceTime(call, (nowMs - startMs) / relativeDuration);
      }
    } else if (result === 'refused') {
      this.checkedSelector?.recordRefusal(state);
    } else if (result === 'timed-out') {
      this.limit.recordTimeout();
    }
    state.warmth = this.eligibility.warmthOf(state.address);
    this.scheduler?.offerAfterEnd(state);
  }

  /** Sets this daemon's share of the fleet's retry allowance. */
  public setRetryReserve(maxPermits: number, permitsPerSecond: number): void {
    this.retryBudget.setReserve(maxPermits, permitsPerSecond);
  }

  /**
   * Finds out whether a server has ended under a request. A lost connection alone is not conclusive,
   * since the network may have failed, unless servers are not checked.
   * @param onVerdict Called at most once.
   */
  public checkLoss(
    server: serverState.ServerState,
    onVerdict: (verdict: callTypes.LossVerdict) => void,
  ): void {
    if (this.checkedSelector === undefined) {
      onVerdict('ended');
      return;
    }
    const loss = this.lossChecks.add(server, onVerdict);
    this.checkedSelector.checkLoss(server, (verdict) => this.lossChecks.recordCheck(loss, verdict));
  }

  /** Finds out the same of a server that was given up, unless it has just replied to others. */
  public checkSilence(
    server: serverState.ServerState,
    onVerdict: (verdict: callTypes.LossVerdict) => void,
  ): void {
    const isSilent = this.clock.monotonicMs() - server.repliedAtMs >= SILENCE_MS;
    if (isSilent && this.checkedSelector !== undefined) this.checkLoss(server, onVerdict);
  }

  /** Records a load report from an answer or a probe reply. */
  public recordReport(address: string, report: policyTypes.ILoadReport): void {
    const server = this.servers.get(address);
    if (server === undefined) return;
    server.recordReport(report, this.clock.monotonicMs());
    if (report.draining) {
      this.eligibility.recordDraining(address);
      return;
    }
    this.eligibility.recordReady(address);
    this.limit.recordReport(report, server.slots, this.admission.inFlight);
  }

  /** Discards all load reports, since they predate a pause of the process. */
  public dropReports(): void {
    this.states.forEach((state) => state.dropReport());
  }

  /** Whether a server that was a candidate before its check gets no work now. */
  private isUnavailable(server: serverState.ServerState): boolean {
    const { address } = server;
    return this.servers.get(address) !== server || this.avoidanceOf(address) !== undefined;
  }

  private replaceServers(rows: readonly tableTypes.IServerRow[], isFirst: boolean): void {
    this.recordUnlisted();
    const listed = new Set(rows.map((row) => row.address));
    [...this.servers.keys()]
      .filter((address) => !listed.has(address))
      .forEach((address) => this.servers.delete(address));
    this.eligibility.retain(listed);
    rows.forEach((row) => {
      const known = this.servers.get(row.address);
      if (known !== undefined && isSameProcess(known.row, row)) {
        known.row = row;
        return;
      }
      const rank = this.checkOptions?.rankOf(row.address);
      this.servers.set(row.address, new serverState.ServerState(row, rank));
      // When the daemon starts, servers are new to it but not newly started.
      this.eligibility.add(row.address, !isFirst);
      this.addedEmitter.fire(row.address);
    });
  }

  /** Decides the losses on servers whose process has left the table without saying that it leaves. */
  private recordUnlisted(): void {
    if (this.lossChecks.isEmpty) return;
    const rows = this.table?.servers.get(this.service) ?? [];
    const byAddress = new Map(rows.map((row) => [row.address, row]));
    this.states
      .filter(({ address, row }) => {
        const current = byAddress.get(address);
        if (current !== undefined && isSameProcess(row, current)) return false;
        const reason = this.avoidanceOf(address);
        return reason !== 'leaving' && reason !== 'weight-zero';
      })
      .forEach((state) => this.lossChecks.recordUnlisted(state));
  }

  /** @param checked Whether the servers are checked, which also tells whether a limit has ended. */
  private candidates(
    excluded: ReadonlySet<string>,
    table: tableTypes.ITable | undefined,
    checked = false,
  ): serverState.ServerState[] {
    const tableAddresses = table === this.table ? undefined : this.addressesIn(table);
    const candidates: serverState.ServerState[] = [];
    this.servers.forEach((state, address) => {
      if (excluded.has(address) || tableAddresses?.has(address) === false) return;
      const reason = this.avoidanceOf(address);
      const isRechecked = checked && reason === 'limited' && this.eligibility.isRecheckDue(state);
      if (reason === undefined || isRechecked) candidates.push(state);
    });
    return candidates;
  }

  private addressesIn(table: tableTypes.ITable | undefined): ReadonlySet<string> {
    return new Set(table?.servers.get(this.service)?.map(({ address }) => address));
  }

  private connectionShare(server: serverState.ServerState): number {
    return Math.max(1, Math.floor(server.row.maxConnections / this.maxDaemons));
  }
}
