import * as routeTable from '../routing/RouteTable';
import type * as routingTypes from '../routing/Types';
import type * as splits from '../routing/Splits';
import type * as tableTypes from '../table/Types';
import type * as directoryTypes from './Types';

/** Weight of a server that is not draining. All have the same weight; their slots differ. */
const READY_SERVER_WEIGHT = 100;

/** Size limit of an answer, in bytes. A daemon buffers answers in memory until complete. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/**
 * Fraction of the retry budget that second sends of late calls may take. The rest is kept for requests
 * that servers refuse or lose.
 */
const SECOND_SEND_SHARE = 0.5;

/** Limits of the whole fleet, the same for every service. */
export interface IFleetLimits {
  /** Maximum number of daemons running at once. */
  readonly maxDaemons: number;
  /** Retry budget, as a fraction of first attempts. */
  readonly retryFraction: number;
  /** Health checks per second that the whole fleet may send to each server. */
  readonly checksPerSecond: number;
}

const NO_DOMAINS: ReadonlySet<string> = new Set();

interface ICachedRoutes {
  readonly configuration: routingTypes.IConfiguration;
  readonly retryFraction: number;
  readonly checksPerSecond: number;
  readonly services: ReadonlyMap<string, tableTypes.IServiceRow>;
  readonly routes: routeTable.RouteTable;
}

function toService(
  terms: routingTypes.IServiceTerms,
  limits: routingTypes.ICallerLimits,
  fleet: IFleetLimits,
  hasOnePriority: boolean,
): tableTypes.IServiceRow {
  return {
    name: terms.name,
    workClass: 'prompt',
    idempotent: false,
    requestKey: 'none',
    deadlineMs: 0,
    probesPerSecond: fleet.checksPerSecond,
    hedgeFraction: SECOND_SEND_SHARE * fleet.retryFraction,
    retryFraction: fleet.retryFraction,
    maxRequestBytes: limits.maxBodyBytes,
    maxAnswerBytes: MAX_ANSWER_BYTES,
    healthPath: terms.healthPath,
    hasOnePriority,
  };
}

/** Returns the priorities of the routes to each service. */
function prioritiesOf(
  routes: readonly routingTypes.IRoute[],
): ReadonlyMap<string, ReadonlySet<number>> {
  const priorities = new Map<string, Set<number>>();
  routes.forEach(({ targets, priority }) =>
    targets.forEach(({ service }) => {
      const known = priorities.get(service);
      if (known === undefined) priorities.set(service, new Set([priority]));
      else known.add(priority);
    }),
  );
  return priorities;
}

function toServer(
  server: directoryTypes.IRegistration,
  terms: routingTypes.IServiceTerms,
  evacuatedDomains: ReadonlySet<string>,
): tableTypes.IServerRow {
  const isUsed = server.state === 'ready' && !evacuatedDomains.has(server.failureDomain);
  return {
    service: server.service,
    address: server.address,
    failureDomain: server.failureDomain,
    weight: isUsed ? READY_SERVER_WEIGHT : 0,
    slots: server.slots,
    maxConnections: terms.maxConnections,
    instance: server.id,
    startedAtMs: server.startedAtMs,
    coldRequestsPerSecond: terms.coldRequestsPerSecond,
  };
}

/** Builds the table for calls from the published configuration and the registered servers. */
export class TableBuilder {
  /** Routes and services of the last table, reused while only the servers change. */
  private cachedRoutes: ICachedRoutes | undefined;

  public constructor(private readonly routeSplits: splits.Splits) {}

  /** @param evacuatedDomains Failure domains whose servers get no requests. */
  public build(
    configuration: routingTypes.IConfiguration,
    servers: readonly directoryTypes.IRegistration[],
    revision: number,
    fleet: IFleetLimits,
    evacuatedDomains = NO_DOMAINS,
  ): tableTypes.ITable {
    this.cachedRoutes = this.getRoutes(configuration, fleet);
    const { services, routes } = this.cachedRoutes;
    const byService = new Map<string, directoryTypes.IRegistration[]>();
    servers.forEach((server) => {
      const sameService = byService.get(server.service);
      if (sameService === undefined) byService.set(server.service, [server]);
      else sameService.push(server);
    });
    const rows = configuration.services.map((terms): [string, tableTypes.IServerRow[]] => [
      terms.name,
      (byService.get(terms.name) ?? []).map((server) => toServer(server, terms, evacuatedDomains)),
    ]);
    return {
      version: revision,
      hash: '',
      maxDaemons: fleet.maxDaemons,
      services,
      servers: new Map(rows),
      text: '',
      routes,
    };
  }

  private getRoutes(
    configuration: routingTypes.IConfiguration,
    fleet: IFleetLimits,
  ): ICachedRoutes {
    const { cachedRoutes } = this;
    const { retryFraction, checksPerSecond } = fleet;
    const isCacheValid =
      cachedRoutes?.configuration === configuration &&
      cachedRoutes.retryFraction === retryFraction &&
      cachedRoutes.checksPerSecond === checksPerSecond;
    if (isCacheValid) return cachedRoutes;
    const priorities = prioritiesOf(configuration.routes);
    const services = new Map(
      configuration.services.map((terms) => [
        terms.name,
        toService(terms, configuration.limits, fleet, (priorities.get(terms.name)?.size ?? 0) <= 1),
      ]),
    );
    const routes = new routeTable.RouteTable(configuration, services, this.routeSplits);
    return { configuration, retryFraction, checksPerSecond, services, routes };
  }
}
