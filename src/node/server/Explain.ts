import type * as serviceBalancer from '../../common/call/ServiceBalancer';
import type * as membershipTypes from '../../common/membership/Types';
import type * as tableTypes from '../../common/table/Types';
import type * as types from '../../common/Types';
import type * as refusalLog from '../telemetry/RefusalLog';
import type * as serverTypes from './Types';

/** What the operators' endpoint reads. */
export interface IExplainSources {
  readonly phase: serverTypes.Phase;
  readonly peerAddress: string;
  readonly failureDomain: string;
  readonly policy: string;
  readonly table: tableTypes.ITable | undefined;
  readonly members: readonly membershipTypes.IMember[];
  readonly balancers: ReadonlyMap<string, serviceBalancer.ServiceBalancer>;
  readonly refusals: refusalLog.RefusalLog;
  readonly callsInFlight: number;
  readonly callsAnswered: number;
  readonly probesSent: ReadonlyMap<string, number>;
  connectionsOf(address: string): { readonly open: number; readonly idle: number };
}

const REASONS: Record<serviceBalancer.AvoidanceReason, string> = {
  'weight-zero': 'its weight in the table is 0',
  leaving: 'the VM list, the server itself or a peer says that it is leaving',
  ejected: 'it failed several times in a row and is left out for a while',
  'connection-limit': 'this daemon holds its full share of connections to it',
};

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

/** Answers the questions of operators from the state of one daemon. */
export class Explain {
  private readonly startMs: number;

  public constructor(
    private readonly sources: IExplainSources,
    private readonly clock: types.IClock,
  ) {
    this.startMs = clock.monotonicMs();
  }

  public get isReady(): boolean {
    return this.sources.phase === 'ready';
  }

  public ready() {
    const { phase, table } = this.sources;
    return { ready: this.isReady, phase, tableVersion: table?.version ?? 0 };
  }

  public status() {
    const { sources } = this;
    const { rss, heapUsed } = process.memoryUsage();
    return {
      ...this.ready(),
      tableHash: sources.table?.hash ?? '',
      peerAddress: sources.peerAddress,
      failureDomain: sources.failureDomain,
      policy: sources.policy,
      uptimeMs: Math.round(this.clock.monotonicMs() - this.startMs),
      callsInFlight: sources.callsInFlight,
      callsAnswered: sources.callsAnswered,
      callsRefused: sources.refusals.totals,
      members: sources.members.map((member) => ({
        address: member.address,
        failureDomain: member.failureDomain,
        leaving: member.leaving,
        tableVersion: member.tableVersion,
      })),
      memory: { residentBytes: rss, heapBytes: heapUsed },
    };
  }

  /** Why calls go to a server or avoid it. Undefined if the table does not list the address. */
  public server(address: string) {
    const services = [...this.sources.balancers].flatMap(([name, balancer]) => {
      const found = this.serverOf(balancer, address);
      return found === undefined ? [] : [{ service: name, ...found }];
    });
    if (services.length === 0) return undefined;
    return { address, connections: this.sources.connectionsOf(address), services };
  }

  public refusals() {
    const { totals, recent } = this.sources.refusals;
    return { totals, recent };
  }

  /** What the measuring budget and the budgets for extra attempts are spent on. */
  public budget() {
    const { table, probesSent, callsAnswered } = this.sources;
    const services = [...(table?.services.values() ?? [])].map((service) => ({
      service: service.name,
      fleetProbesPerSecond: service.probesPerSecond,
      ownProbesPerSecond: Math.floor(service.probesPerSecond / (table?.maxDaemons ?? 1)),
      probesSent: probesSent.get(service.name) ?? 0,
      retryPercent: service.retryFraction * 100,
      hedgePercent: service.hedgeFraction * 100,
    }));
    const probes = services.reduce((sum, service) => sum + service.probesSent, 0);
    const probesPerAnsweredCall = callsAnswered === 0 ? 0 : round(probes / callsAnswered);
    return { maxDaemons: table?.maxDaemons ?? 0, probesPerAnsweredCall, services };
  }

  /** The table in force, and the version at each daemon that this one knows. */
  public table() {
    const { table, members, peerAddress } = this.sources;
    const versions = members.map((member) => ({
      address: member.address,
      tableVersion: member.tableVersion,
    }));
    const own = { address: peerAddress, tableVersion: table?.version ?? 0 };
    return {
      version: table?.version ?? 0,
      hash: table?.hash ?? '',
      maxDaemons: table?.maxDaemons ?? 0,
      versions: [own, ...versions],
      services: [...(table?.services.values() ?? [])].map((service) => ({
        ...service,
        servers: (table?.servers.get(service.name) ?? []).map((row) => row.address),
      })),
    };
  }

  private serverOf(balancer: serviceBalancer.ServiceBalancer, address: string) {
    const state = balancer.states.find((known) => known.address === address);
    if (state === undefined) return undefined;
    const nowMs = this.clock.monotonicMs();
    const avoided = balancer.avoidanceOf(address);
    const { oldestStartMs, latencyMs, report } = state;
    return {
      usable: avoided === undefined,
      avoidedBecause: avoided ?? null,
      explanation: avoided === undefined ? 'it may receive new work' : REASONS[avoided],
      weight: state.weight,
      slots: state.slots,
      warmth: round(state.warmth),
      inFlight: state.inFlight,
      oldestAttemptMs: oldestStartMs === undefined ? null : Math.round(nowMs - oldestStartMs),
      latencyMs: latencyMs === undefined ? null : round(latencyMs),
      report: report ?? null,
      reportAgeMs: report === undefined ? null : Math.round(nowMs - state.reportedAtMs),
      startedSinceReport: state.startedSinceReport,
    };
  }
}
