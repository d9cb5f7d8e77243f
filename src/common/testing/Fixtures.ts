import * as callCoordinator from '../call/CallCoordinator';
import * as serviceBalancer from '../call/ServiceBalancer';
import type * as callTypes from '../call/Types';
import * as manualClock from '../ManualClock';
import * as leastInFlightPolicy from '../policy/LeastInFlightPolicy';
import * as seededRandom from '../SeededRandom';
import * as requestSuspicion from '../suspicion/RequestSuspicion';
import type * as tableTypes from '../table/Types';
import * as fakeTransport from './FakeTransport';

const SERVICE: tableTypes.IServiceRow = {
  name: 'status',
  workClass: 'prompt',
  idempotent: true,
  requestKey: 'none',
  deadlineMs: 1_000,
  probesPerSecond: 0,
  hedgeFraction: 0,
  retryFraction: 1,
  maxRequestBytes: 1_000,
  maxAnswerBytes: 1_000,
};

/** Test rig that runs calls on a manual clock and a fake transport. */
export interface IRig {
  readonly clock: manualClock.ManualClock;
  readonly transport: fakeTransport.FakeTransport;
  readonly suspicion: requestSuspicion.RequestSuspicion;
  readonly balancer: serviceBalancer.ServiceBalancer;
  readonly table: tableTypes.ITable;
  /** Outcomes in the order in which the calls ended. */
  readonly outcomes: callTypes.CallOutcome[];
  start(changes?: Partial<callTypes.ICall>): callTypes.IRunningCall;
}

export function makeTable(
  service: Partial<tableTypes.IServiceRow> = {},
  serverCount = 3,
): tableTypes.ITable {
  const row = { ...SERVICE, ...service };
  const servers = Array.from({ length: serverCount }, (_, index) => ({
    service: row.name,
    address: `10.0.0.${index + 1}:80`,
    failureDomain: `domain-${index % 3}`,
    weight: 100,
    slots: 3,
    maxConnections: 200,
  }));
  return {
    version: 1,
    hash: 'hash',
    maxDaemons: 20,
    services: new Map([[row.name, row]]),
    servers: new Map([[row.name, servers]]),
    text: '',
  };
}

export function makeRig(
  service: Partial<tableTypes.IServiceRow> = {},
  serverCount = 3,
  sendsAtOnce = true,
): IRig {
  const clock = new manualClock.ManualClock();
  const transport = new fakeTransport.FakeTransport(sendsAtOnce);
  const suspicion = new requestSuspicion.RequestSuspicion(clock);
  const policy = new leastInFlightPolicy.LeastInFlightPolicy(new seededRandom.SeededRandom(1));
  const balancer = new serviceBalancer.ServiceBalancer(policy, clock);
  const table = makeTable(service, serverCount);
  const row = table.services.get('status') as tableTypes.IServiceRow;
  balancer.update(table, row);
  const coordinator = new callCoordinator.CallCoordinator(transport, suspicion, clock);
  const outcomes: callTypes.CallOutcome[] = [];
  const start = (changes: Partial<callTypes.ICall> = {}) =>
    coordinator.start(
      {
        requestId: 'request',
        service: row,
        table,
        method: 'GET',
        path: '/',
        headers: [],
        body: new Uint8Array(),
        deadlineMs: clock.monotonicMs() + row.deadlineMs,
        depth: 0,
        retriesSpent: 0,
        fingerprint: 'fingerprint',
        ...changes,
      },
      balancer,
      (outcome) => outcomes.push(outcome),
    );
  return { clock, transport, suspicion, balancer, table, outcomes, start };
}
