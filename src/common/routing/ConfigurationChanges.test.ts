import * as fastCheck from 'fast-check';

import * as configurationChanges from './ConfigurationChanges';
import type * as routingTypes from './Types';

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

function configurationOf(version: number, ids: readonly number[]): routingTypes.IConfiguration {
  const routes = ids.map((id) => ({
    ...{ name: `${id}`, host: 'a.example', prefix: `/${id}/`, idempotent: true, priority: 0 },
    ...{ targets: [{ service: 's', weight: 1 }], timeoutMs: id, objectiveMs: 1, maxAttempts: 1 },
  }));
  const services = [{ name: 's', healthPath: '/', maxConnections: version }];
  return { version, routes, services, limits: LIMITS };
}

const IDS = fastCheck.array(fastCheck.integer({ min: 1, max: 8 }), { maxLength: 12 });

// Guards against a daemon whose routes are not those of the version that it has in force.
test('the changes between any two configurations lead from one to the other', () => {
  fastCheck.assert(
    fastCheck.property(IDS, IDS, (before, after) => {
      const base = configurationOf(3, before);
      const next = configurationOf(5, after);
      const sent = JSON.parse(JSON.stringify(configurationChanges.diff(base, next)));
      expect(configurationChanges.apply(base, sent)).toEqual(next);
    }),
    { seed: 1 },
  );
});

// Guards against changes that grow with the configuration (gcga-gateway-grown: 1,440 routes).
test('the change of one route names the others by position only', () => {
  const ids = Array.from({ length: 1_000 }, (_, index) => index + 1);
  const changed = ids.map((id) => (id === 500 ? 2_000 : id));
  const changes = configurationChanges.diff(configurationOf(1, ids), configurationOf(2, changed));
  expect(changes.routes).toMatchObject([{ from: 0, count: 499 }, {}, { from: 500, count: 500 }]);
});

// Guards against routes of a configuration that only some daemons have, after a store was restored.
test('changes of a configuration with the same version and other routes are refused', () => {
  const changes = configurationChanges.diff(configurationOf(3, [1, 2]), configurationOf(5, [1, 3]));
  expect(() => configurationChanges.apply(configurationOf(3, [1, 4]), changes)).toThrow(RangeError);
});

test.each([
  ['another version', 4, [{ from: 0, count: 1 }]],
  ['routes that do not exist', 3, [{ from: 1, count: 2 }]],
  ['routes without end', 3, Array.from({ length: 60_000 }, () => ({ from: 0, count: 2 }))],
])('changes of %s are refused', (_name, baseVersion, routes) => {
  const base = configurationOf(3, [1, 2]);
  const changes = {
    ...configurationChanges.diff(base, configurationOf(5, [])),
    baseVersion,
    routes,
  };
  expect(() => configurationChanges.apply(base, changes)).toThrow(RangeError);
});
