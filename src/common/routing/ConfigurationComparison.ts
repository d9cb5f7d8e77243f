import * as configurationReview from './ConfigurationReview';
import type * as routingTypes from './Types';

/** What callers notice of a difference. */
export type Notice =
  /** Requests are refused as unknown. */
  | 'refused'
  /** Requests that no route was for, or a shorter prefix, are served by this route. */
  | 'served-by-route'
  /** Requests go to other services, or in other shares. */
  | 'other-servers'
  /** Requests may be run again after a loss, or no more. */
  | 'repeats'
  /** Answers that take long are waited for. */
  | 'waits-longer'
  /** Answers that take long are no more waited for: their callers get an error. */
  | 'waits-less'
  /** Requests have another rank, or attempts, under load and failures. */
  | 'under-load'
  /** Requests with larger or smaller headers or bodies, or slower ones, are refused. */
  | 'limits'
  /** Health and cold starts of servers are judged otherwise. */
  | 'server-state'
  | 'nothing';

/** A value that differs, as text; undefined if there was or is none. */
export interface IValueChange {
  readonly field: string;
  readonly before: unknown;
  readonly after: unknown;
  readonly notice: Notice;
}

/** A difference between the configuration in force and the next one. */
export type Difference =
  | { readonly kind: 'version-not-newer'; readonly inForce: number; readonly version: number }
  | {
      readonly kind: 'route-added' | 'route-removed';
      readonly route: routingTypes.IRoute;
      readonly notice: Notice;
    }
  | {
      readonly kind: 'route-changed';
      readonly route: routingTypes.IRoute;
      readonly changes: readonly IValueChange[];
    }
  | { readonly kind: 'service-added' | 'service-removed'; readonly service: string }
  | {
      readonly kind: 'service-changed';
      readonly service: string;
      readonly changes: readonly IValueChange[];
    }
  | { readonly kind: 'limits-changed'; readonly changes: readonly IValueChange[] };

const ROUTE_NOTICES: Readonly<Record<keyof routingTypes.IRoute, Notice>> = {
  name: 'nothing',
  host: 'nothing',
  prefix: 'nothing',
  targets: 'other-servers',
  idempotent: 'repeats',
  hasLargeAnswers: 'under-load',
  priority: 'under-load',
  timeoutMs: 'waits-longer',
  objectiveMs: 'under-load',
  maxAttempts: 'under-load',
};

const SERVICE_NOTICES: Readonly<Record<keyof routingTypes.IServiceTerms, Notice>> = {
  name: 'nothing',
  healthPath: 'server-state',
  maxConnections: 'under-load',
  coldRequestsPerSecond: 'server-state',
};

const LIMIT_NOTICES: Readonly<Record<keyof routingTypes.ICallerLimits, Notice>> = {
  maxHeaderBytes: 'limits',
  maxBodyBytes: 'limits',
  headerTimeoutMs: 'limits',
  idleTimeoutMs: 'limits',
};

function changesBetween<T extends object>(
  before: T,
  after: T,
  notices: Readonly<Record<keyof T, Notice>>,
): readonly IValueChange[] {
  return (Object.keys(notices) as (keyof T & string)[])
    .filter((field) => JSON.stringify(before[field]) !== JSON.stringify(after[field]))
    .map((field) => ({
      field,
      before: before[field],
      after: after[field],
      notice: notices[field],
    }));
}

/** Whether another route is for the requests of a route, once this one is gone. */
function hasOther(
  { host, prefix }: routingTypes.IRoute,
  routes: Iterable<routingTypes.IRoute>,
): boolean {
  return [...routes].some((other) => other.host === host && prefix.startsWith(other.prefix));
}

function compareRoutes(
  inForce: readonly routingTypes.IRoute[],
  next: readonly routingTypes.IRoute[],
): Difference[] {
  const before = configurationReview.firstRoutes(inForce);
  const after = configurationReview.firstRoutes(next);
  const removed = [...before].filter(([key]) => !after.has(key));
  return [
    ...removed.map(([, route]): Difference => {
      const notice = hasOther(route, after.values()) ? 'other-servers' : 'refused';
      return { kind: 'route-removed', route, notice };
    }),
    ...[...after].flatMap(([key, route]): Difference[] => {
      const known = before.get(key);
      if (known === undefined) return [{ kind: 'route-added', route, notice: 'served-by-route' }];
      const changes = changesBetween(known, route, {
        ...ROUTE_NOTICES,
        timeoutMs: route.timeoutMs < known.timeoutMs ? 'waits-less' : 'waits-longer',
      });
      return changes.length === 0 ? [] : [{ kind: 'route-changed', route, changes }];
    }),
  ];
}

function compareServices(
  inForce: readonly routingTypes.IServiceTerms[],
  next: readonly routingTypes.IServiceTerms[],
): Difference[] {
  // Of services with one name, the last one applies.
  const before = new Map(inForce.map((terms) => [terms.name, terms]));
  const after = new Map(next.map((terms) => [terms.name, terms]));
  const removed = [...before.keys()].filter((name) => !after.has(name));
  return [
    ...removed.map((service): Difference => ({ kind: 'service-removed', service })),
    ...[...after].flatMap(([service, terms]): Difference[] => {
      const known = before.get(service);
      if (known === undefined) return [{ kind: 'service-added', service }];
      const changes = changesBetween(known, terms, SERVICE_NOTICES);
      return changes.length === 0 ? [] : [{ kind: 'service-changed', service, changes }];
    }),
  ];
}

/** Returns what differs between the configuration in force and the next one, as callers notice it. */
export function compare(
  inForce: routingTypes.IConfiguration,
  next: routingTypes.IConfiguration,
): readonly Difference[] {
  const { version } = next;
  const limits = changesBetween(inForce.limits, next.limits, LIMIT_NOTICES);
  const differences = [
    ...compareRoutes(inForce.routes, next.routes),
    ...compareServices(inForce.services, next.services),
    ...(limits.length === 0 ? [] : [{ kind: 'limits-changed', changes: limits } as const]),
  ];
  if (version > inForce.version) return differences;
  return [{ kind: 'version-not-newer', inForce: inForce.version, version }, ...differences];
}
