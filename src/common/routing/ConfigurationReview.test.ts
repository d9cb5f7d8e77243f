import * as fastCheck from 'fast-check';

import * as seededRandom from '../SeededRandom';
import type * as tableTypes from '../table/Types';
import * as configurationReview from './ConfigurationReview';
import * as routeTable from './RouteTable';
import * as splits from './Splits';
import type * as routingTypes from './Types';

const LIMITS = { maxHeaderBytes: 10, maxBodyBytes: 10, headerTimeoutMs: 1, idleTimeoutMs: 1 };

const BOUNDS = {
  defaultDeadlineMs: 1_000,
  requestBytes: 10,
  maxHeaderBytes: 10,
  loads: new Map([['s', 5]]),
};

function routeOf(changes: Partial<routingTypes.IRoute> = {}): routingTypes.IRoute {
  return {
    ...{ name: 'r', host: 'a.example', prefix: '/x/', targets: [{ service: 's', weight: 1 }] },
    ...{ idempotent: true, priority: 0, timeoutMs: 1_000, objectiveMs: 1_000, maxAttempts: 1 },
    ...changes,
  };
}

function configurationOf(
  routes: readonly routingTypes.IRoute[],
  changes: Partial<routingTypes.IConfiguration> = {},
): routingTypes.IConfiguration {
  const services = [
    { name: 's', healthPath: '/', maxConnections: 1, coldRequestsPerSecond: 5 as number },
  ];
  return { version: 1, routes, services, limits: LIMITS, ...changes };
}

function kindsOf(configuration: routingTypes.IConfiguration): string[] {
  return configurationReview
    .review(configuration, BOUNDS)
    .map(({ kind, severity }) => `${severity} ${kind}`);
}

const WITHOUT_WEIGHT = [
  { service: 's', weight: 1 },
  { service: 's', weight: 0 },
];
const TERMS = { healthPath: '/', maxConnections: 1 };

// Guards against a contradiction that nobody is told of, and against findings in what is in order.
test.each([
  ['in order', configurationOf([routeOf()]), []],
  ['a repeated route', configurationOf([routeOf(), routeOf()]), ['warning route-hidden']],
  ['a longer prefix behind', configurationOf([routeOf(), routeOf({ prefix: '/x/y/' })]), []],
  [
    'a host with a port',
    configurationOf([routeOf({ host: 'a:80' })]),
    ['warning route-unmatchable'],
  ],
  [
    'a query in a prefix',
    configurationOf([routeOf({ prefix: '/?/' })]),
    ['warning route-unmatchable'],
  ],
  [
    'no weight',
    configurationOf([routeOf({ targets: WITHOUT_WEIGHT })]),
    ['note target-without-weight'],
  ],
  [
    'an objective',
    configurationOf([routeOf({ objectiveMs: 1_001 })]),
    ['warning objective-above-timeout'],
  ],
  [
    'a long time-out',
    configurationOf([routeOf({ timeoutMs: 1_001 })]),
    ['warning timeout-above-deadline'],
  ],
  [
    'no time',
    configurationOf([routeOf({ timeoutMs: 0, objectiveMs: 0 })]),
    ['warning timeout-zero'],
  ],
  ['no route', configurationOf([]), ['note service-unused']],
  [
    'a repeated service',
    configurationOf([routeOf()], { services: [1, 2].map(() => ({ ...TERMS, name: 's' })) }),
    ['warning service-repeated'],
  ],
  [
    'a slow start',
    configurationOf([routeOf()], {
      services: [{ ...TERMS, name: 's', coldRequestsPerSecond: 4.9 }],
    }),
    ['warning cold-rate-below-load'],
  ],
  [
    'large limits',
    configurationOf([routeOf()], { limits: { ...LIMITS, maxBodyBytes: 11, maxHeaderBytes: 11 } }),
    ['warning body-limit-above-memory', 'warning header-limit-above-reader'],
  ],
])('findings of a configuration: %s', (_name, configuration, kinds) => {
  expect(kindsOf(configuration)).toEqual(kinds);
});

const ROUTES = fastCheck
  .array(
    fastCheck.record({
      host: fastCheck.constantFrom('a.example', 'b.example', 'a.example:80'),
      prefix: fastCheck.constantFrom('/', '/x/', '/x/y/', '/?/'),
    }),
    { maxLength: 8 },
  )
  .map((routes) => routes.map((route) => routeOf(route)));

// Guards against a route that is reported as dead but serves requests, and the other way round.
test('exactly the routes without a finding match requests', () => {
  fastCheck.assert(
    fastCheck.property(ROUTES, (routes) => {
      const configuration = configurationOf(routes);
      const services = new Map([['s', { name: 's' } as tableTypes.IServiceRow]]);
      const random = new seededRandom.SeededRandom(1);
      const table = new routeTable.RouteTable(configuration, services, new splits.Splits(random));
      const dead = configurationReview
        .review(configuration, BOUNDS)
        .flatMap((finding) =>
          finding.kind === 'route-hidden' || finding.kind === 'route-unmatchable'
            ? [finding.route]
            : [],
        );
      const live = routes.filter(
        (route) => table.match(route.host, route.prefix.split('?', 1)[0] ?? '')?.route === route,
      );
      expect(new Set(live)).toEqual(new Set(routes.filter((route) => !dead.includes(route))));
    }),
    { seed: 1 },
  );
});
