import type * as tableTypes from '../table/Types';
import * as weightedSplit from './WeightedSplit';
import type * as routingTypes from './Types';

interface ICompiledRoute {
  readonly route: routingTypes.IRoute;
  readonly split: weightedSplit.WeightedSplit;
  /** Terms of each target, in the order of the targets. */
  readonly services: readonly tableTypes.IServiceRow[];
}

function hostName(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}

/** The routes of one version of the configuration. */
export class RouteTable implements routingTypes.IRouteTable {
  /** Routes by host, the longest prefix first. */
  private readonly byHost = new Map<string, ICompiledRoute[]>();

  /**
   * @param services Terms of the services; a route to a service that is not listed never matches.
   * @param splits Progress of the splits of earlier versions, by route name. It is carried on, so
   * that frequent changes do not restart every split at its first target.
   */
  public constructor(
    private readonly configuration: routingTypes.IConfiguration,
    services: ReadonlyMap<string, tableTypes.IServiceRow>,
    splits: weightedSplit.SplitPositions,
  ) {
    configuration.routes.forEach((route) => {
      const rows = route.targets.map(({ service }) => services.get(service));
      if (rows.some((row) => row === undefined)) return;
      const routes = this.byHost.get(route.host) ?? [];
      routes.push({
        route,
        split: new weightedSplit.WeightedSplit(
          route.targets.map(({ weight }) => weight),
          splits.positionOf(route.name),
        ),
        services: (rows as tableTypes.IServiceRow[]).map((row) => RouteTable.termsOf(route, row)),
      });
      this.byHost.set(route.host, routes);
    });
    this.byHost.forEach((routes) =>
      routes.sort((left, right) => right.route.prefix.length - left.route.prefix.length),
    );
  }

  public get configurationVersion(): number {
    return this.configuration.version;
  }

  public get limits(): routingTypes.ICallerLimits {
    return this.configuration.limits;
  }

  public match(host: string, path: string): routingTypes.IRouteMatch | undefined {
    const found = this.byHost
      .get(hostName(host))
      ?.find(({ route }) => path.startsWith(route.prefix));
    if (found === undefined) return undefined;
    const service = found.services[found.split.next()] as tableTypes.IServiceRow;
    return { route: found.route, service };
  }

  private static termsOf(
    route: routingTypes.IRoute,
    service: tableTypes.IServiceRow,
  ): tableTypes.IServiceRow {
    const { idempotent, timeoutMs } = route;
    return { ...service, idempotent, deadlineMs: timeoutMs };
  }
}
