import * as configurationComparison from './ConfigurationComparison';
import type * as routingTypes from './Types';

const LIMITS = { maxHeaderBytes: 10, maxBodyBytes: 10, headerTimeoutMs: 1, idleTimeoutMs: 1 };
const SERVICE = { name: 's', healthPath: '/', maxConnections: 1 };

function routeOf(changes: Partial<routingTypes.IRoute> = {}): routingTypes.IRoute {
  return {
    ...{ name: 'r', host: 'a.example', prefix: '/x/', targets: [{ service: 's', weight: 1 }] },
    ...{ idempotent: true, priority: 0, timeoutMs: 1_000, objectiveMs: 1_000, maxAttempts: 1 },
    ...changes,
  };
}

function versionOf(
  version: number,
  routes: readonly routingTypes.IRoute[],
  changes: Partial<routingTypes.IConfiguration> = {},
): routingTypes.IConfiguration {
  return { version, routes, services: [SERVICE], limits: LIMITS, ...changes };
}

const BASE = versionOf(1, [routeOf()]);

// Guards against a change that callers notice and that nobody was told of before it was published.
test.each([
  ['nothing', versionOf(2, [routeOf()]), []],
  ['an old version', versionOf(1, [routeOf()]), [{ kind: 'version-not-newer', inForce: 1 }]],
  ['a hidden route', versionOf(2, [routeOf(), routeOf({ timeoutMs: 1 })]), []],
  ['no routes', versionOf(2, []), [{ kind: 'route-removed', notice: 'refused' }]],
  [
    'a shorter prefix',
    versionOf(2, [routeOf({ prefix: '/' })]),
    [{ kind: 'route-removed', notice: 'other-servers' }, { kind: 'route-added' }],
  ],
  [
    'a route',
    versionOf(2, [routeOf({ timeoutMs: 9, idempotent: false })]),
    [
      {
        kind: 'route-changed',
        changes: [
          { field: 'idempotent', before: true, after: false, notice: 'repeats' },
          { field: 'timeoutMs', before: 1_000, after: 9, notice: 'waits-less' },
        ],
      },
    ],
  ],
  [
    'services',
    versionOf(2, [routeOf()], { services: [{ ...SERVICE, name: 't' }] }),
    [
      { kind: 'service-removed', service: 's' },
      { kind: 'service-added', service: 't' },
    ],
  ],
  [
    'a service and limits',
    versionOf(2, [routeOf()], {
      services: [{ ...SERVICE, coldRequestsPerSecond: 2 }],
      limits: { ...LIMITS, maxBodyBytes: 9 },
    }),
    [
      { kind: 'service-changed', changes: [{ field: 'coldRequestsPerSecond', after: 2 }] },
      { kind: 'limits-changed', changes: [{ field: 'maxBodyBytes', before: 10, after: 9 }] },
    ],
  ],
])('differences: %s', (_name, next, differences) => {
  const found = configurationComparison.compare(BASE, next);
  expect(found).toHaveLength(differences.length);
  expect(found).toMatchObject(differences);
});
