import * as serviceBalancer from '../common/call/ServiceBalancer';
import type * as selectionPolicy from '../common/policy/SelectionPolicy';
import type * as tableTypes from '../common/table/Types';
import type * as types from '../common/Types';

/** The balancers of all services of the table in force. */
export class BalancerSet {
  private readonly balancers = new Map<string, serviceBalancer.ServiceBalancer>();

  public constructor(
    private readonly makePolicy: () => selectionPolicy.SelectionPolicy,
    private readonly clock: types.IClock,
  ) {}

  /** The balancers by the names of their services. */
  public get all(): ReadonlyMap<string, serviceBalancer.ServiceBalancer> {
    return this.balancers;
  }

  public get(service: string): serviceBalancer.ServiceBalancer | undefined {
    return this.balancers.get(service);
  }

  /** Takes over a new table. Balancers of services that remain keep their estimates. */
  public update(table: tableTypes.ITable): void {
    [...this.balancers.keys()]
      .filter((name) => !table.services.has(name))
      .forEach((name) => this.balancers.delete(name));
    table.services.forEach((service, name) => {
      const balancer =
        this.balancers.get(name) ??
        new serviceBalancer.ServiceBalancer(this.makePolicy(), this.clock);
      balancer.update(table, service);
      this.balancers.set(name, balancer);
    });
  }

  /** Forgets load reports, which describe the time before a pause. */
  public dropReports(): void {
    this.balancers.forEach((balancer) => balancer.dropReports());
  }
}
