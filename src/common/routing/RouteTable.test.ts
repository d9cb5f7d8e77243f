import * as fastCheck from 'fast-check';

import * as seededRandom from '../SeededRandom';
import type * as tableTypes from '../table/Types';
import * as routeTable from './RouteTable';
import type * as routingTypes from './Types';
import * as weightedSplit from './WeightedSplit';

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

function routeOf(host: string, prefix: string, service: string): routingTypes.IRoute {
  return {
    name: `${host} ${prefix}`,
    host,
    prefix,
    targets: [{ service, weight: 1 }],
    idempotent: false,
    timeoutMs: 700,
    objectiveMs: 300,
    maxAttempts: 2,
  };
}

function tableOf(routes: readonly routingTypes.IRoute[]): routeTable.RouteTable {
  const services = new Map(
    ['a', 'b'].map((name) => [name, { name, deadlineMs: 0 } as tableTypes.IServiceRow]),
  );
  const splits = new weightedSplit.SplitStates(new seededRandom.SeededRandom(1));
  return new routeTable.RouteTable(
    { version: 3, routes, services: [], limits: LIMITS },
    services,
    splits,
  );
}

test('the route with the longest matching prefix of the host applies', () => {
  const table = tableOf([
    routeOf('h.example', '/x/', 'a'),
    routeOf('h.example', '/x/y/', 'b'),
    routeOf('other.example', '/', 'a'),
  ]);
  expect(table.match('h.example', '/x/1')?.service.name).toBe('a');
  expect(table.match('H.example:80', '/x/y/1')?.service.name).toBe('b');
  expect(table.match('h.example', '/x')).toBeUndefined();
  expect(table.match('none.example', '/x/1')).toBeUndefined();
});

test('a route overrides settings of its service', () => {
  const match = tableOf([routeOf('h', '/', 'a')]).match('h', '/');
  expect(match?.service).toMatchObject({ name: 'a', idempotent: false, deadlineMs: 700 });
});

// Guards against shares that drift from the weights at any point of a split.
test('each target deviates from its share by fewer requests than there are targets', () => {
  const weights = fastCheck.array(fastCheck.integer({ min: 0, max: 100 }), {
    minLength: 2,
    maxLength: 5,
  });
  fastCheck.assert(
    fastCheck.property(weights, fastCheck.integer({ min: 1, max: 300 }), (list, requests) => {
      fastCheck.pre(list.some((weight) => weight > 0));
      const split = new weightedSplit.WeightedSplit(list, { credits: list.map(() => 0) });
      const counts = list.map(() => 0);
      for (let index = 0; index < requests; index += 1) counts[split.next()]! += 1;
      const total = list.reduce((sum, weight) => sum + weight, 0);
      list.forEach((weight, index) => {
        expect(Math.abs((counts[index] ?? 0) - (requests * weight) / total)).toBeLessThan(
          list.length,
        );
        if (weight === 0) expect(counts[index]).toBe(0);
      });
    }),
    { seed: 1 },
  );
});

// Guards against frequent configuration changes sending every request to the first target.
test('a split continues across versions of the configuration', () => {
  const splits = new weightedSplit.SplitStates(new seededRandom.SeededRandom(4));
  const counts = [0, 0];
  for (let version = 0; version < 100; version += 1) {
    const split = new weightedSplit.WeightedSplit([50, 50], splits.stateOf('route'));
    counts[split.next()]! += 1;
  }
  expect(counts).toEqual([50, 50]);
});
