import * as routeTable from '../routing/RouteTable';
import type * as routingTypes from '../routing/Types';
import type * as weightedSplit from '../routing/WeightedSplit';
import type * as tableTypes from '../table/Types';
import type * as directoryTypes from './Types';

/** Weight of a server that may get work. All servers weigh the same; their slots differ. */
const SERVER_WEIGHT = 100;

/** Size limit of an answer, in bytes, which a daemon holds in memory until it is complete. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** What the fleet may spend, for all services alike. */
export interface IFleetTerms {
  /** Upper limit on daemons running at once. */
  readonly maxDaemons: number;
  /** Retries as a fraction of first attempts. */
  readonly retryFraction: number;
  /** Questions per second and server that the whole fleet may send. */
  readonly checksPerSecond: number;
}

function toService(
  terms: routingTypes.IServiceTerms,
  limits: routingTypes.ICallerLimits,
  fleet: IFleetTerms,
): tableTypes.IServiceRow {
  return {
    name: terms.name,
    workClass: 'prompt',
    idempotent: false,
    requestKey: 'none',
    deadlineMs: 0,
    probesPerSecond: fleet.checksPerSecond,
    hedgeFraction: 0,
    retryFraction: fleet.retryFraction,
    maxRequestBytes: limits.maxBodyBytes,
    maxAnswerBytes: MAX_ANSWER_BYTES,
    healthPath: terms.healthPath,
  };
}

function toServer(
  server: directoryTypes.IRegistration,
  terms: routingTypes.IServiceTerms,
): tableTypes.IServerRow {
  return {
    service: server.service,
    address: server.address,
    failureDomain: server.failureDomain,
    weight: server.state === 'ready' ? SERVER_WEIGHT : 0,
    slots: server.slots,
    maxConnections: terms.maxConnections,
    instance: server.id,
    startedAtMs: server.startedAtMs,
  };
}

/** Builds the table that calls use from the published configuration and servers. */
export function buildTable(
  configuration: routingTypes.IConfiguration,
  servers: readonly directoryTypes.IRegistration[],
  revision: number,
  fleet: IFleetTerms,
  splits: weightedSplit.SplitPositions,
): tableTypes.ITable {
  const services = new Map<string, tableTypes.IServiceRow>();
  const rows = new Map<string, tableTypes.IServerRow[]>();
  configuration.services.forEach((terms) => {
    services.set(terms.name, toService(terms, configuration.limits, fleet));
    const own = servers.filter(({ service }) => service === terms.name);
    rows.set(
      terms.name,
      own.map((server) => toServer(server, terms)),
    );
  });
  return {
    version: revision,
    hash: '',
    maxDaemons: fleet.maxDaemons,
    services,
    servers: rows,
    text: '',
    routes: new routeTable.RouteTable(configuration, services, splits),
  };
}
