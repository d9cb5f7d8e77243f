import type * as checkedSelector from '../common/call/CheckedSelector';
import * as serviceBalancer from '../common/call/ServiceBalancer';
import type * as callTypes from '../common/call/Types';
import * as emitter from '../common/Emitter';
import type * as ejector from '../common/policy/Ejector';
import * as prober from '../common/policy/Prober';
import type * as selectionPolicy from '../common/policy/SelectionPolicy';
import * as subset from '../common/policy/Subset';
import type * as probeBudget from '../common/probing/ProbeBudget';
import type * as serverRestraints from '../common/restraint/ServerRestraints';
import type * as tableTypes from '../common/table/Types';
import type * as types from '../common/Types';

interface IService {
  readonly balancer: serviceBalancer.ServiceBalancer;
  readonly prober: prober.Prober;
}

/** Holds the balancer and prober of each service in the active table. */
export class ServiceSet {
  private readonly services = new Map<string, IService>();

  private retryReserve:
    { readonly maxTokens: number; readonly tokensPerSecond: number } | undefined;

  private readonly drainingEmitter = new emitter.Emitter<string>();

  private readonly ejectedEmitter = new emitter.Emitter<ejector.IEjection>();

  private readonly serverAddedEmitter = new emitter.Emitter<string>();

  /** Fires with the address of a server that this daemon found to be draining. */
  public readonly onDraining: types.Event<string> = this.drainingEmitter.event;

  /** Fires when this daemon ejects a server. */
  public readonly onEjected: types.Event<ejector.IEjection> = this.ejectedEmitter.event;

  /** Fires with the address of each server that a table adds. */
  public readonly onServerAdded: types.Event<string> = this.serverAddedEmitter.event;

  /**
   * @param ownAddress Peer address of this daemon, which determines its subset of servers.
   * @param checkOptions Used for services with a health path: their servers are checked right before
   * each dispatch.
   * @param restraints What servers state about the requests that they want.
   */
  public constructor(
    private readonly ownAddress: string,
    private readonly createPolicy: () => selectionPolicy.SelectionPolicy,
    private readonly budget: probeBudget.ProbeBudget,
    private readonly transport: callTypes.IBackendTransport,
    private readonly clock: types.IClock,
    private readonly checkOptions?: checkedSelector.ICheckedSelectorOptions,
    private readonly restraints?: serverRestraints.ServerRestraints,
  ) {}

  /** Balancers by service name. */
  public get balancers(): ReadonlyMap<string, serviceBalancer.ServiceBalancer> {
    return new Map([...this.services].map(([name, { balancer }]) => [name, balancer]));
  }

  /** Number of calls of all services that wait for a server. */
  public get waitingCalls(): number {
    return [...this.services.values()].reduce(
      (sum, { balancer }) => sum + balancer.waitingCalls,
      0,
    );
  }

  public balancerOf(service: string): serviceBalancer.ServiceBalancer | undefined {
    return this.services.get(service)?.balancer;
  }

  /** Sends the probes that the start of a call makes due. */
  public probe(service: string): void {
    this.services.get(service)?.prober.onCallStarted();
  }

  /** Applies a new table. Services that remain keep the state of their servers. */
  public update(table: tableTypes.ITable): void {
    [...this.services.keys()]
      .filter((name) => !table.services.has(name))
      .forEach((name) => this.services.delete(name));
    table.services.forEach((row, name) => {
      const service = this.services.get(name) ?? this.create(name);
      const rows = subset.subsetOf(table.servers.get(name) ?? [], this.ownAddress);
      service.balancer.update(table, row, rows);
      this.services.set(name, service);
    });
  }

  /** Applies a drain signal that a peer observed. */
  public mergeDraining(address: string): void {
    this.services.forEach(({ balancer }) => balancer.eligibility.mergeDraining(address));
  }

  /** Applies a peer's report that a server refuses work. */
  public mergeRefusing(address: string): void {
    this.services.forEach(({ balancer }) => balancer.eligibility.mergeRefusing(address));
  }

  /** Sets which backend servers the platform's list reports as leaving. */
  public setLeaving(leaving: ReadonlySet<string>): void {
    this.services.forEach(({ balancer }) => {
      balancer.states.forEach(({ address }) => {
        balancer.eligibility.setListed(address, leaving.has(address) ? 'leaving' : 'live');
      });
    });
  }

  /** Sets this daemon's share of the fleet's retry allowance: a token bucket for each service. */
  public setRetryReserve(maxTokens: number, tokensPerSecond: number): void {
    this.retryReserve = { maxTokens, tokensPerSecond };
    this.services.forEach(({ balancer }) => balancer.setRetryReserve(maxTokens, tokensPerSecond));
  }

  /** Discards load reports, which are stale after a pause. */
  public dropReports(): void {
    this.services.forEach(({ balancer }) => balancer.dropReports());
  }

  private create(name: string): IService {
    const policy = this.createPolicy();
    const balancer = new serviceBalancer.ServiceBalancer(
      policy,
      this.clock,
      true,
      this.checkOptions,
      this.restraints,
    );
    balancer.eligibility.onDraining((address) => this.drainingEmitter.fire(address));
    balancer.eligibility.onEjected((ejection) => this.ejectedEmitter.fire(ejection));
    balancer.onServerAdded((address) => this.serverAddedEmitter.fire(address));
    const reserve = this.retryReserve;
    if (reserve !== undefined) balancer.setRetryReserve(reserve.maxTokens, reserve.tokensPerSecond);
    const budget = this.budgetOf(name);
    return {
      balancer,
      prober: new prober.Prober(balancer, policy, budget, this.transport, this.clock),
    };
  }

  private budgetOf(service: string) {
    const { budget } = this;
    return {
      get hasFree() {
        return budget.canTake(service);
      },
      take: () => budget.take(service),
    };
  }
}
