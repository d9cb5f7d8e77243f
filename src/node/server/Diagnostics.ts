import type * as serverEligibility from '../../common/call/ServerEligibility';
import type * as serviceBalancer from '../../common/call/ServiceBalancer';
import type * as probingTypes from '../../common/probing/Types';
import type * as tableTypes from '../../common/table/Types';
import type * as types from '../../common/Types';
import type * as fleetStatus from '../fleet/FleetStatus';
import type * as refusalLog from '../telemetry/RefusalLog';
import type * as serverTypes from './Types';

/** State of a daemon that is exposed to operators. */
export interface IDiagnosticsState {
  readonly phase: serverTypes.Phase;
  readonly peerAddress: string;
  readonly failureDomain: string;
  readonly policy: string;
  readonly table: tableTypes.ITable | undefined;
  readonly fleet: fleetStatus.IFleetStatus;
  readonly balancers: ReadonlyMap<string, serviceBalancer.ServiceBalancer>;
  readonly refusals: refusalLog.RefusalLog;
  readonly callsInFlight: number;
  readonly callsAnswered: number;
  readonly probes: readonly probingTypes.IProbeUsage[];
  /** Why this daemon currently sends no probes, or undefined if it does. */
  readonly probeStop: probingTypes.ProbeStopReason | undefined;
  readonly keyClaims: number;
  connectionsOf(address: string): { readonly open: number; readonly idle: number };
}

const AVOIDANCE_EXPLANATIONS: Record<serverEligibility.AvoidanceReason, string> = {
  'weight-zero': 'its weight in the table is 0',
  leaving: 'the VM list, the server itself or a peer says that it is leaving',
  ejected: 'it failed several times in a row and is left out for a while',
  paused: 'the server asked for no requests for a while',
  returning: 'the first request after a pause that the server asked for is in progress',
  limited: 'this daemon has used its share of the requests that the server takes',
  cold: 'it is cold, and this daemon has used its share of the requests that it takes meanwhile',
  'connection-limit': 'this daemon holds its full share of connections to it',
};

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

/** Reports the state and the decisions of one daemon to operators. */
export class Diagnostics {
  private readonly startMs: number;

  public constructor(
    private readonly readState: () => IDiagnosticsState,
    private readonly clock: types.IClock,
  ) {
    this.startMs = clock.monotonicMs();
  }

  public get isReady(): boolean {
    return this.readState().phase === 'ready';
  }

  public ready() {
    const { phase, table } = this.readState();
    return { ready: phase === 'ready', phase, tableVersion: table?.version ?? 0 };
  }

  public status() {
    const daemonState = this.readState();
    const { members, departed, facts, lastRefusedTable, ...fleet } = daemonState.fleet;
    const { rss, heapUsed } = process.memoryUsage();
    return {
      ...this.ready(),
      tableHash: daemonState.table?.hash ?? '',
      peerAddress: daemonState.peerAddress,
      failureDomain: daemonState.failureDomain,
      policy: daemonState.policy,
      uptimeMs: Math.round(this.clock.monotonicMs() - this.startMs),
      callsInFlight: daemonState.callsInFlight,
      callsAnswered: daemonState.callsAnswered,
      callsRefused: daemonState.refusals.totals,
      requestKeyClaims: daemonState.keyClaims,
      memory: { residentBytes: rss, heapBytes: heapUsed },
      fleet: {
        ...fleet,
        members: members.map(({ record, state, silentMs }) => ({
          ...record,
          state,
          silentMs: Math.round(silentMs),
        })),
        departed,
        facts: facts.map(({ kind, subject, origin, ageMs, details }) => ({
          kind,
          subject,
          origin,
          ageMs,
          details,
        })),
      },
    };
  }

  /** Explains why a server is used or avoided. Returns undefined if the table does not list it. */
  public server(address: string) {
    const { balancers, connectionsOf } = this.readState();
    const services = [...balancers].flatMap(([name, balancer]) => {
      const found = this.serverOf(balancer, address);
      return found === undefined ? [] : [{ service: name, ...found }];
    });
    if (services.length === 0) return undefined;
    return { address, connections: connectionsOf(address), services };
  }

  public refusals() {
    const { totals, recent } = this.readState().refusals;
    return { totals, recent };
  }

  /** Reports the use of the probe budget, and the budgets for retries and hedged requests. */
  public budget() {
    const { table, probes, probeStop, callsAnswered } = this.readState();
    const sent = probes.reduce((sum, use) => sum + use.sent, 0);
    return {
      maxDaemons: table?.maxDaemons ?? 0,
      probesStoppedBecause: probeStop ?? null,
      probesPerAnsweredCall: callsAnswered === 0 ? 0 : round(sent / callsAnswered),
      services: probes.map((use) => {
        const row = table?.services.get(use.service);
        return {
          ...use,
          retryPercent: (row?.retryFraction ?? 0) * 100,
          hedgePercent: (row?.hedgeFraction ?? 0) * 100,
        };
      }),
    };
  }

  /** Reports the active table, the version at each known daemon, and the last rejected table. */
  public table() {
    const { table, fleet, peerAddress } = this.readState();
    const versions = fleet.members.map(({ record, state }) => ({
      address: record.address,
      tableVersion: record.tableVersion,
      state,
    }));
    const own = { address: peerAddress, tableVersion: table?.version ?? 0, state: 'live' };
    return {
      version: table?.version ?? 0,
      hash: table?.hash ?? '',
      maxDaemons: table?.maxDaemons ?? 0,
      versions: [own, ...versions],
      conflicts: fleet.tableConflicts,
      rejected: fleet.rejectedTables,
      lastRefused: fleet.lastRefusedTable ?? null,
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
      explanation:
        avoided === undefined ? 'it may receive new work' : AVOIDANCE_EXPLANATIONS[avoided],
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
