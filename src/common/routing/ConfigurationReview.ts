import type * as routingTypes from './Types';

/** How serious a finding is. A note may be intended. */
export type Severity = 'warning' | 'note';

/** What a daemon adds to a configuration, and loads that the configuration does not state. */
export interface IReviewBounds {
  /** Deadline of a request that states none, in milliseconds. */
  readonly defaultDeadlineMs: number;
  /** Bytes of request bodies that a daemon holds at the same time. */
  readonly requestBytes: number;
  /** Largest headers that a daemon reads, in bytes. */
  readonly maxHeaderBytes: number;
  /** Requests a second that each server of a service has to take, by service. */
  readonly loads: ReadonlyMap<string, number>;
}

interface IRouteFinding {
  readonly route: routingTypes.IRoute;
}

/** Something in a valid configuration that has no effect, or contradicts something else. */
export type Finding = { readonly severity: Severity } & (
  | (IRouteFinding & { readonly kind: 'route-hidden'; readonly by: routingTypes.IRoute })
  | (IRouteFinding & {
      readonly kind: 'route-unmatchable';
      readonly part: 'host' | 'prefix';
    })
  | (IRouteFinding & { readonly kind: 'target-without-weight'; readonly service: string })
  | (IRouteFinding & { readonly kind: 'objective-above-timeout' })
  | (IRouteFinding & { readonly kind: 'timeout-zero' })
  | (IRouteFinding & { readonly kind: 'timeout-above-deadline'; readonly deadlineMs: number })
  | { readonly kind: 'service-unused'; readonly service: string }
  | { readonly kind: 'service-repeated'; readonly service: string }
  | {
      readonly kind: 'cold-rate-below-load';
      readonly service: string;
      readonly rate: number;
      readonly load: number;
    }
  | {
      readonly kind: 'body-limit-above-memory' | 'header-limit-above-reader';
      readonly limitBytes: number;
      readonly availableBytes: number;
    }
);

/** A host as it is compared with the `host` header: in lower case, without a port. */
const HOST = /^[^\s:]+$|^\[[0-9a-f:.]+\]$/;

/** A prefix of a path as it is on the wire: printable ASCII, without a query. */
const PREFIX = /^[!->@-~]*$/;

/** Identifies the requests that a route is for. */
export function matchKeyOf({ host, prefix }: routingTypes.IRoute): string {
  return `${host} ${prefix}`;
}

/** Returns the first route for each host and prefix, the only one that can match. */
export function firstRoutes(
  routes: readonly routingTypes.IRoute[],
): ReadonlyMap<string, routingTypes.IRoute> {
  const first = new Map<string, routingTypes.IRoute>();
  routes.forEach((route) => {
    const key = matchKeyOf(route);
    if (!first.has(key)) first.set(key, route);
  });
  return first;
}

function reviewMatch(
  route: routingTypes.IRoute,
  first: ReadonlyMap<string, routingTypes.IRoute>,
): Finding[] {
  const findings: Finding[] = [];
  const by = first.get(matchKeyOf(route));
  const severity = 'warning';
  if (by !== undefined && by !== route)
    findings.push({ kind: 'route-hidden', severity, route, by });
  if (!HOST.test(route.host))
    findings.push({ kind: 'route-unmatchable', severity, route, part: 'host' });
  if (!PREFIX.test(route.prefix))
    findings.push({ kind: 'route-unmatchable', severity, route, part: 'prefix' });
  return findings;
}

function reviewTimes(route: routingTypes.IRoute, deadlineMs: number): Finding[] {
  const findings: Finding[] = [];
  const { timeoutMs, objectiveMs } = route;
  if (timeoutMs === 0) findings.push({ kind: 'timeout-zero', severity: 'warning', route });
  if (objectiveMs > timeoutMs)
    findings.push({ kind: 'objective-above-timeout', severity: 'warning', route });
  if (timeoutMs > deadlineMs)
    findings.push({ kind: 'timeout-above-deadline', severity: 'warning', route, deadlineMs });
  return findings;
}

function reviewTargets(route: routingTypes.IRoute): Finding[] {
  return route.targets
    .filter(({ weight }) => weight === 0)
    .map(({ service }) => ({ kind: 'target-without-weight', severity: 'note', route, service }));
}

function reviewService(
  { name: service, coldRequestsPerSecond: rate }: routingTypes.IServiceTerms,
  isRepeated: boolean,
  isUsed: boolean,
  load: number | undefined,
): Finding[] {
  const findings: Finding[] = [];
  if (isRepeated) findings.push({ kind: 'service-repeated', severity: 'warning', service });
  if (!isUsed) findings.push({ kind: 'service-unused', severity: 'note', service });
  if (rate !== undefined && load !== undefined && rate < load)
    findings.push({ kind: 'cold-rate-below-load', severity: 'warning', service, rate, load });
  return findings;
}

function reviewLimit(
  kind: 'body-limit-above-memory' | 'header-limit-above-reader',
  limitBytes: number,
  availableBytes: number,
): Finding[] {
  if (limitBytes <= availableBytes) return [];
  return [{ kind, severity: 'warning', limitBytes, availableBytes }];
}

/** Returns what has no effect in a configuration, and which of its limits contradict each other. */
export function review(
  { routes, services, limits }: routingTypes.IConfiguration,
  bounds: IReviewBounds,
): readonly Finding[] {
  const first = firstRoutes(routes);
  const used = new Set(
    [...first.values()].flatMap(({ targets }) => targets.map(({ service }) => service)),
  );
  const { requestBytes, maxHeaderBytes, defaultDeadlineMs, loads } = bounds;
  return [
    ...routes.flatMap((route) => [
      ...reviewMatch(route, first),
      ...reviewTargets(route),
      ...reviewTimes(route, defaultDeadlineMs),
    ]),
    ...services.flatMap((terms, index) => {
      const { name } = terms;
      const isRepeated = services.findIndex((other) => other.name === name) < index;
      return reviewService(terms, isRepeated, used.has(name), loads.get(name));
    }),
    ...reviewLimit('body-limit-above-memory', limits.maxBodyBytes, requestBytes),
    ...reviewLimit('header-limit-above-reader', limits.maxHeaderBytes, maxHeaderBytes),
  ];
}
