import type * as tableTypes from '../table/Types';
import type * as splits from './Splits';
import type * as routingTypes from './Types';
import type * as weightedSplit from './WeightedSplit';

interface ICompiledRoute {
  readonly route: routingTypes.IRoute;
  /** Chooses the target of each request, if there are several. */
  readonly split: weightedSplit.WeightedSplit | undefined;
  /** Service settings of each target, in the order of the targets. */
  readonly services: readonly tableTypes.IServiceRow[];
}

function normalizeHost(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}

/** The routes of one version of the configuration. */
export class RouteTable implements routingTypes.IRouteTable {
  /** Routes by host, the longest prefix first. */
  private readonly routesByHost = new Map<string, ICompiledRoute[]>();

  /**
   * @param services Settings of the services. A route with a target not among them never matches.
   * @param routeSplits Splits of the routes, kept across versions, so that frequent changes do not
   * begin every split anew.
   */
  public constructor(
    private readonly configuration: routingTypes.IConfiguration,
    services: ReadonlyMap<string, tableTypes.IServiceRow>,
    routeSplits: splits.Splits,
  ) {
    routeSplits.update(configuration.routes);
    configuration.routes.forEach((route) => {
      const rows = route.targets.map(({ service }) => services.get(service));
      if (rows.some((row) => row === undefined)) return;
      const routes = this.routesByHost.get(route.host) ?? [];
      routes.push({
        route,
        split: routeSplits.of(route),
        services: (rows as tableTypes.IServiceRow[]).map((row) =>
          RouteTable.withRouteOverrides(route, row),
        ),
      });
      this.routesByHost.set(route.host, routes);
    });
    this.routesByHost.forEach((routes) =>
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
    const matched = this.find(host, path);
    if (matched === undefined) return undefined;
    const service = matched.services[matched.split?.next() ?? 0] as tableTypes.IServiceRow;
    return { route: matched.route, service };
  }

  public servicesOf(host: string, path: string): readonly string[] {
    const targets = this.find(host, path)?.route.targets ?? [];
    return targets.filter(({ weight }) => weight > 0).map(({ service }) => service);
  }

  private find(host: string, path: string): ICompiledRoute | undefined {
    return this.routesByHost
      .get(normalizeHost(host))
      ?.find(({ route }) => path.startsWith(route.prefix));
  }

  private static withRouteOverrides(
    route: routingTypes.IRoute,
    service: tableTypes.IServiceRow,
  ): tableTypes.IServiceRow {
    const { idempotent, timeoutMs } = route;
    return { ...service, idempotent, deadlineMs: timeoutMs };
  }
}
