import type * as simulatedServer from './SimulatedServer';
import type * as benchTypes from './Types';

/** Starts the call nested in `call`, and reports whether it failed. */
export type NestedRunner = (
  call: benchTypes.ISimulatedCall,
  onEnd: (failed: boolean) => void,
) => void;

/** The servers, and the network between them and the daemons. */
export class SimulatedNetwork {
  public nestedRunner: NestedRunner | undefined;

  private isolatedDomain: string | undefined;

  private readonly serversByAddress: ReadonlyMap<string, simulatedServer.SimulatedServer>;

  private readonly inTransit = new Map<string, number>();

  public constructor(
    private readonly company: benchTypes.ICompany,
    public readonly servers: readonly simulatedServer.SimulatedServer[],
  ) {
    this.serversByAddress = new Map(servers.map((server) => [server.row.address, server]));
  }

  public serverAt(address: string): simulatedServer.SimulatedServer {
    const server = this.serversByAddress.get(address);
    if (server === undefined) throw new Error(`no simulated server has the address ${address}`);
    return server;
  }

  public latencyMs(from: string, to: string): number {
    return from === to ? this.company.intraDomainLatencyMs : this.company.crossDomainLatencyMs;
  }

  /** Whether a partition separates two failure domains. */
  public isPartitioned(from: string, to: string): boolean {
    return from !== to && (from === this.isolatedDomain || to === this.isolatedDomain);
  }

  public isolate(failureDomain: string | undefined): void {
    this.isolatedDomain = failureDomain;
  }

  public runNested(call: benchTypes.ISimulatedCall, onEnd: (failed: boolean) => void): void {
    if (call.nestedWorkMs.length === 0 || this.nestedRunner === undefined) onEnd(false);
    else this.nestedRunner(call, onEnd);
  }

  /** Number of requests sent to the server that have not reached it. Only for the oracle. */
  public inTransitTo(address: string): number {
    return this.inTransit.get(address) ?? 0;
  }

  public recordSent(address: string): void {
    this.inTransit.set(address, this.inTransitTo(address) + 1);
  }

  public recordArrival(address: string): void {
    this.inTransit.set(address, this.inTransitTo(address) - 1);
  }
}
