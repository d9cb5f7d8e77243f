import * as emitter from '../Emitter';
import * as ejector from '../policy/Ejector';
import type * as checkedSelection from '../policy/CheckedSelection';
import * as ratioBudget from '../policy/RatioBudget';
import type * as selectionPolicy from '../policy/SelectionPolicy';
import * as serverState from '../policy/ServerState';
import type * as policyTypes from '../policy/Types';
import type * as serverRestraints from '../restraint/ServerRestraints';
import type * as restraintTypes from '../restraint/Types';
import type * as tableTypes from '../table/Types';
import type * as types from '../Types';
import * as admissionQueue from './AdmissionQueue';
import * as concurrencyLimit from './ConcurrencyLimit';
import * as checkedSelector from './CheckedSelector';
import * as hedgeDelay from './HedgeDelay';
import * as serverAvailability from './ServerAvailability';
import type * as callTypes from './Types';

/**
 * Hedge permits earned by a nested call, relative to an outermost one. A hedge repeats all calls
 * nested in it, so equal budgets at 14 levels would multiply the number of innermost calls.
 */
const NESTED_HEDGE_SHARE = 1 / 16;

/** Additional permits that a failed retry costs, so that a failing service gets fewer retries. */
const FAILED_RETRY_SURCHARGE = 2;

/** Why a server gets no new work. */
export type AvoidanceReason =
  'weight-zero' | 'ejected' | 'connection-limit' | restraintTypes.Restraint;

function isSameProcess(known: tableTypes.IServerRow, row: tableTypes.IServerRow): boolean {
  return known.instance === row.instance && known.startedAtMs === row.startedAtMs;
}

const NO_SELECTION: types.IDisposable = { dispose: () => undefined };

/** Attempt that the balancer counts as in flight. */
export interface IStartedAttempt {
  readonly server: serverState.ServerState;
  readonly number: number;
  readonly startMs: number;
  /** Expected duration relative to that on an idle server. */
  readonly cost: number;
}

interface IServer {
  readonly state: serverState.ServerState;
  readonly availability: serverAvailability.ServerAvailability;
}

/** Balances the calls of one service at this daemon: state, selection and budgets. */
export class ServiceBalancer {
  public readonly admission: admissionQueue.AdmissionQueue;

  public readonly hedgeDelay = new hedgeDelay.HedgeDelay();

  /** Limits all extra attempts, retries and hedges, to a fraction of first attempts. */
  private readonly retryBudget: ratioBudget.RatioBudget;

  /** Limits hedges to a smaller fraction of first attempts. */
  private readonly hedgeBudget: ratioBudget.RatioBudget;

  private readonly servers = new Map<string, IServer>();

  private readonly ejector: ejector.Ejector;

  private readonly limit = new concurrencyLimit.ConcurrencyLimit();

  private readonly drainingEmitter = new emitter.Emitter<string>();

  private readonly addedEmitter = new emitter.Emitter<string>();

  private table: tableTypes.ITable | undefined;

  private service = '';

  private maxDaemons = 1;

  private healthPath: string | undefined;

  /** Undefined if the servers are not checked before dispatches. */
  private checkedSelector: checkedSelector.CheckedSelector | undefined;

  /** Fires with the address of each server that a table adds. */
  public readonly onServerAdded: types.Event<string> = this.addedEmitter.event;

  /** Fires with the address of a server that this daemon finds draining; shared with peers. */
  public readonly onDraining: types.Event<string> = this.drainingEmitter.event;

  /** Fires when this daemon ejects a server for failures that it observed; shared with peers. */
  public readonly onEjected: types.Event<ejector.IEjection>;

  /**
   * @param ejectsServers Whether failing servers are ejected. False for benchmark baselines.
   * @param checkOptions Used for services that have a health path.
   * @param restraints What servers state about the requests that they want, if they do.
   */
  public constructor(
    private readonly policy: selectionPolicy.SelectionPolicy,
    private readonly clock: types.IClock,
    private readonly ejectsServers = true,
    private readonly checkOptions?: checkedSelector.ICheckedSelectorOptions,
    private readonly restraints?: serverRestraints.ServerRestraints,
  ) {
    this.ejector = new ejector.Ejector(clock);
    this.onEjected = this.ejector.onEjected;
    this.retryBudget = new ratioBudget.RatioBudget(0, clock);
    this.hedgeBudget = new ratioBudget.RatioBudget(0, clock);
    this.admission = new admissionQueue.AdmissionQueue(this.limit, clock);
  }

  /** States of the servers of the active table that this daemon uses. */
  public get states(): readonly serverState.ServerState[] {
    return [...this.servers.values()].map(({ state }) => state);
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
    return this.servers.get(chosen.address)?.state;
  }

  /**
   * Selects the server for the next attempt. Checks a few servers first if the service has a health
   * path, otherwise selects like `choose`.
   * @param onSelected Called once, possibly synchronously, unless the selection is disposed first.
   */
  public select(
    excluded: ReadonlySet<string>,
    call: Pick<callTypes.ICall, 'table' | 'objectiveAtMs'>,
    onSelected: (selected: checkedSelection.SelectionResult) => void,
  ): types.IDisposable {
    if (this.checkedSelector === undefined) {
      const server = this.choose(excluded, call.table);
      onSelected(server === undefined ? { kind: 'none' } : { kind: 'server', server, cost: 1 });
      return NO_SELECTION;
    }
    const candidates = this.candidates(excluded, call.table, true);
    let selection: types.IDisposable | undefined;
    const first = this.checkedSelector.select(candidates, call.objectiveAtMs, (selected) => {
      if (selected.kind !== 'server' || this.restraintOf(selected.server) === undefined) {
        onSelected(selected);
        return;
      }
      // The check told of a restraint, or another call took the permit for the server meanwhile.
      const others = new Set([...excluded, selected.server.address]);
      selection = this.select(others, call, onSelected);
    });
    return { dispose: () => (selection ?? first).dispose() };
  }

  /**
   * Returns the delay after which callers may return if every server has asked for fewer requests, in
   * milliseconds, or undefined if one of them has not.
   */
  public retryDelayMs(): number | undefined {
    return this.restraints?.retryDelayMs(this.states.map(({ row }) => row));
  }

  /** Whether a server has not stated, since it was selected, that it leaves or wants a pause. */
  public wantsRequests({ row }: serverState.ServerState): boolean {
    return this.restraints?.wantsRequests(row) ?? true;
  }

  /** Returns why a server gets no new work, or undefined if it is available. */
  public avoidanceOf(address: string): AvoidanceReason | undefined {
    const server = this.servers.get(address);
    if (server === undefined || server.state.weight === 0) return 'weight-zero';
    if (server.availability.isLeaving) return 'leaving';
    const restraint = this.restraintOf(server.state);
    if (restraint !== undefined) return restraint;
    if (this.ejector.isEjected(address)) return 'ejected';
    if (server.state.inFlight >= this.connectionShare(server.state)) return 'connection-limit';
    return undefined;
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
    this.checkedSelector =
      this.checkOptions === undefined || healthPath === undefined
        ? undefined
        : new checkedSelector.CheckedSelector(this.checkOptions, healthPath, this.clock);
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

  /** Takes a permit for a retry. Returns false if the budget is exhausted. */
  public takeRetryPermit(): boolean {
    return this.retryBudget.take();
  }

  /** Records that a call failed despite `count` retries. */
  public recordFailedRetries(count: number): void {
    this.retryBudget.charge(FAILED_RETRY_SURCHARGE * count);
  }

  /** Takes a permit for a hedge. Returns false if either budget is exhausted. */
  public takeHedgePermit(): boolean {
    // Hedges count against both budgets. Over 14 levels, two separate budgets would multiply.
    return this.hedgeBudget.available && this.retryBudget.take() && this.hedgeBudget.take();
  }

  /** @param cost Expected duration relative to that on an idle server. */
  public recordStart(server: serverState.ServerState, cost = 1): IStartedAttempt {
    const startMs = this.clock.monotonicMs();
    const state = server;
    state.warmth = this.ejector.warmthOf(server.address);
    this.restraints?.recordRequest(server.row);
    return { server, number: state.recordStart(startMs), startMs, cost };
  }

  public recordEnd(attempt: IStartedAttempt, result: policyTypes.AttemptResult): void {
    const nowMs = this.clock.monotonicMs();
    const state = attempt.server;
    this.restraints?.recordRequestEnd(state.row);
    // A server that asks for a pause has not failed, and works again after it.
    const isPause = result === 'refused' && this.restraintOf(state) === 'paused';
    state.recordEnd(attempt.number, isPause ? 'cancelled' : result, nowMs);
    if (result === 'answered') {
      this.hedgeDelay.recordLatency(nowMs - attempt.startMs);
      this.checkedSelector?.recordServiceTime((nowMs - attempt.startMs) / attempt.cost);
      this.ejector.recordSuccess(state.address);
    } else if (result === 'failed' || result === 'refused') {
      // A server that is checked before each dispatch reports when it is full, so its refusals are
      // not counted as failures.
      const isCheckedRefusal = result === 'refused' && this.checkedSelector !== undefined;
      if (this.ejectsServers && !isCheckedRefusal) this.ejector.recordFailure(state.address);
    } else if (result === 'timed-out') {
      this.limit.recordTimeout();
    }
    state.warmth = this.ejector.warmthOf(state.address);
  }

  /** Sets this daemon's share of the fleet's retry allowance. */
  public setRetryReserve(maxPermits: number, permitsPerSecond: number): void {
    this.retryBudget.setReserve(maxPermits, permitsPerSecond);
  }

  /**
   * Calls `onConfirmed` if the process of a server is gone, or in any case if servers are not
   * checked. A lost connection alone is not conclusive, since the network may have failed.
   */
  public confirmLoss(server: serverState.ServerState, onConfirmed: () => void): void {
    if (this.checkedSelector === undefined) onConfirmed();
    else this.checkedSelector.confirmLoss(server, onConfirmed);
  }

  /** Records a load report from an answer or a probe reply. */
  public recordReport(address: string, report: policyTypes.ILoadReport): void {
    const server = this.servers.get(address);
    if (server === undefined) return;
    server.state.recordReport(report, this.clock.monotonicMs());
    if (report.draining) {
      this.recordDraining(address);
      return;
    }
    if (server.availability.recordReady()) this.ejector.startWarmUp(address);
    this.limit.recordReport(report, server.state.slots, this.admission.inFlight);
  }

  /** Records a drain signal that this daemon observed itself. */
  public recordDraining(address: string): void {
    if (this.servers.get(address)?.availability.recordDraining() === true) {
      this.drainingEmitter.fire(address);
    }
  }

  /** Records a drain signal that a peer observed. */
  public mergeDraining(address: string): void {
    this.servers.get(address)?.availability.recordDraining();
  }

  /** Records a peer's report that a server refuses work. */
  public mergeRefusing(address: string): void {
    if (this.servers.has(address)) this.ejector.recordPeerReport(address);
  }

  /** Sets the state of a server in the platform's list of VMs. */
  public setListed(address: string, state: 'live' | 'leaving'): void {
    this.servers.get(address)?.availability.setListed(state);
  }

  /** Discards all load reports, since they predate a pause of the process. */
  public dropReports(): void {
    this.states.forEach((state) => state.dropReport());
  }

  private replaceServers(rows: readonly tableTypes.IServerRow[], isFirst: boolean): void {
    const listed = new Set(rows.map((row) => row.address));
    [...this.servers.keys()]
      .filter((address) => !listed.has(address))
      .forEach((address) => this.servers.delete(address));
    this.ejector.setServers([...listed]);
    rows.forEach((row) => {
      const known = this.servers.get(row.address);
      if (known !== undefined && isSameProcess(known.state.row, row)) {
        known.state.row = row;
        return;
      }
      this.servers.set(row.address, {
        state: new serverState.ServerState(row, this.checkOptions?.rankOf(row.address)),
        availability: new serverAvailability.ServerAvailability(this.clock),
      });
      // When the daemon starts, servers are new to it but not newly started.
      if (!isFirst) this.ejector.startWarmUp(row.address);
      this.addedEmitter.fire(row.address);
    });
  }

  private restraintOf({ row }: serverState.ServerState): restraintTypes.Restraint | undefined {
    return this.restraints?.restraintOf(row);
  }

  /** @param checked Whether the servers are checked, which also tells whether a limit has ended. */
  private candidates(
    excluded: ReadonlySet<string>,
    table: tableTypes.ITable | undefined,
    checked = false,
  ): serverState.ServerState[] {
    const tableAddresses = table === this.table ? undefined : this.addressesIn(table);
    const candidates: serverState.ServerState[] = [];
    this.servers.forEach(({ state }, address) => {
      if (excluded.has(address) || tableAddresses?.has(address) === false) return;
      const reason = this.avoidanceOf(address);
      const isRechecked =
        checked && reason === 'limited' && this.restraints?.isRecheckDue(state.row) === true;
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
