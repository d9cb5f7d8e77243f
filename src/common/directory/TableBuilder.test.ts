import * as seededRandom from '../SeededRandom';
import type * as routingTypes from '../routing/Types';
import * as splitsModule from '../routing/Splits';
import * as tableBuilder from './TableBuilder';
import type * as directoryTypes from './Types';

const FLEET = { maxDaemons: 10, retryFraction: 0.2, checksPerSecond: 60 };

const SERVER: directoryTypes.IRegistration = {
  id: '1',
  service: 'reads',
  address: '10.0.0.1:80',
  failureDomain: 'a',
  slots: 3,
  state: 'ready',
  startedAtMs: 1,
};

function configurationOf(version: number): routingTypes.IConfiguration {
  const configuration = {
    version,
    routes: [],
    services: [{ name: 'reads', healthPath: '/health', maxConnections: 100 }],
    limits: { maxBodyBytes: 1_000 },
  };
  return configuration as unknown as routingTypes.IConfiguration;
}

function make(): tableBuilder.TableBuilder {
  const splits = new splitsModule.Splits(new seededRandom.SeededRandom(1));
  return new tableBuilder.TableBuilder(splits);
}

test('a draining server has weight 0, and a server of an unknown service is omitted', () => {
  const draining = { ...SERVER, id: '2', address: '10.0.0.2:80', state: 'draining' as const };
  const unknown = { ...SERVER, id: '3', service: 'other' };
  const table = make().build(configurationOf(1), [SERVER, draining, unknown], 5, FLEET);
  expect(table.version).toBe(5);
  expect([...table.servers.keys()]).toEqual(['reads']);
  expect(table.servers.get('reads')?.map(({ weight }) => weight)).toEqual([100, 0]);
});

// Guards against calls that give way to others where the configuration has none.
test('a service has one priority unless its routes have several', () => {
  const base = configurationOf(1);
  const routeOf = (prefix: string, priority: number): routingTypes.IRoute => ({
    ...{ name: prefix, host: 'h', prefix, targets: [{ service: 'reads', weight: 1 }], priority },
    ...{ idempotent: true, timeoutMs: 1, objectiveMs: 1, maxAttempts: 1 },
  });
  const hasOneOf = (routes: readonly routingTypes.IRoute[]) =>
    make()
      .build({ ...base, routes }, [], 1, FLEET)
      .services.get('reads')?.hasOnePriority;
  expect(hasOneOf([routeOf('/a/', 1), routeOf('/b/', 1)])).toBe(true);
  expect(hasOneOf([routeOf('/a/', 1), routeOf('/b/', 0)])).toBe(false);
});

// Guards against requests to servers that operators have evacuated.
test('a server of an evacuated failure domain has weight 0', () => {
  const other = { ...SERVER, id: '2', address: '10.0.0.2:80', failureDomain: 'b' };
  const table = make().build(configurationOf(1), [SERVER, other], 5, FLEET, new Set(['a']));
  expect(table.servers.get('reads')?.map(({ weight }) => weight)).toEqual([0, 100]);
});

// Guards against rebuilding all routes whenever a server is added or removed.
test('the routes are rebuilt only if the configuration, retry limit or check rate changes', () => {
  const builder = make();
  const configuration = configurationOf(1);
  const first = builder.build(configuration, [], 1, FLEET);
  expect(builder.build(configuration, [SERVER], 2, FLEET).routes).toBe(first.routes);
  const more = { ...FLEET, maxDaemons: 20 };
  expect(builder.build(configuration, [SERVER], 2, more).routes).toBe(first.routes);
  const fewer = { ...FLEET, retryFraction: 0.1 };
  const changed = builder.build(configuration, [SERVER], 2, fewer);
  expect(changed.routes).not.toBe(first.routes);
  expect(changed.services.get('reads')?.retryFraction).toBe(0.1);
  expect(builder.build(configurationOf(2), [], 3, FLEET).routes?.configurationVersion).toBe(2);
});
