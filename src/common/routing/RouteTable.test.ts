import * as fastCheck from 'fast-check';

import * as seededRandom from '../SeededRandom';
import type * as tableTypes from '../table/Types';
import * as routeTable from './RouteTable';
import type * as routingTypes from './Types';
import * as splitsModule from './Splits';
import * as weightedSplit from './WeightedSplit';

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

function routeOf(host: string, prefix: string, service: string): routingTypes.IRoute {
  return {
    name: `${host} ${prefix}`,
    host,
    prefix,
    targets: [{ service, weight: 1 }],
    idempotent: false,
    priority: 0,
    timeoutMs: 700,
    objectiveMs: 300,
    maxAttempts: 2,
  };
}

function splitRouteOf(weights: readonly number[]): routingTypes.IRoute {
  const targets = weights.map((weight, index) => ({ service: `${index}`, weight }));
  return { ...routeOf('h', '/', ''), targets };
}

function tableOf(routes: readonly routingTypes.IRoute[]): routeTable.RouteTable {
  const services = new Map(
    ['a', 'b'].map((name) => [name, { name, deadlineMs: 0 } as tableTypes.IServiceRow]),
  );
  const splits = new splitsModule.Splits(new seededRandom.SeededRandom(1));
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
      const split = new weightedSplit.WeightedSplit(list);
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
  const splits = new splitsModule.Splits(new seededRandom.SeededRandom(4));
  const route = splitRouteOf([50, 50]);
  const counts = [0, 0];
  for (let version = 0; version < 100; version += 1) {
    splits.update([route]);
    counts[splits.of(route)!.next()]! += 1;
  }
  expect(counts).toEqual([50, 50]);
});

// Guards against daemons that all begin a split with the same targets.
test.each([
  [119, [0.75, 0.25]],
  [312, [0.75, 0.25]],
  [312, [0.5, 0.3, 0.2]],
  [312, [0.34, 0.33, 0.33]],
  [312, [0.9, 0.1]],
])('the first requests to %d daemons are shared by weight: %j', (daemons, weights) => {
  const route = splitRouteOf(weights);
  const random = new seededRandom.SeededRandom(5);
  const rounds = 100;
  const requests = 200;
  const counts = weights.map(() => 0);
  for (let round = 0; round < rounds; round += 1) {
    const fleet = Array.from({ length: daemons }, () => new splitsModule.Splits(random));
    fleet.forEach((splits) => splits.update([route]));
    for (let request = 0; request < requests; request += 1) {
      const splits = fleet[Math.floor(random.next() * daemons)]!;
      counts[splits.of(route)!.next()]! += 1;
    }
  }
  const errors = weights.map((weight, index) => counts[index]! / (rounds * requests) - weight);
  expect(Math.max(...errors.map(Math.abs))).toBeLessThan(0.05);
});

// Guards against a split that keeps what it owed under the weights of an earlier version.
test('a target whose weight becomes 0 gets no further request', () => {
  const splits = new splitsModule.Splits(new seededRandom.SeededRandom(2));
  const chosen = new Set<number>();
  for (let version = 0; version < 200; version += 1) {
    const before = splitRouteOf([0.2, 0.4, 0.4]);
    splits.update([before]);
    splits.of(before)!.next();
    const after = splitRouteOf([0, 0.5, 0.5]);
    splits.update([after]);
    chosen.add(splits.of(after)!.next());
  }
  expect([...chosen].sort()).toEqual([1, 2]);
});

// Guards against a route that is matched and has no target, since another one has the same prefix.
test('routes with the same prefix have splits of their own', () => {
  const split = { ...splitRouteOf([1, 1]), name: 'split' };
  const targets = ['a', 'b', 'a'].map((service) => ({ service, weight: 1 }));
  const table = tableOf([{ ...split, targets: targets.slice(0, 2) }, routeOf('h', '/', 'a')]);
  const reversed = tableOf([routeOf('h', '/', 'a'), { ...split, targets }]);
  for (let request = 0; request < 10; request += 1) {
    expect(['a', 'b']).toContain(table.match('h', '/')?.service.name);
    expect(reversed.match('h', '/')?.service.name).toBe('a');
  }
});

test('splits of routes that are gone are not kept', () => {
  const splits = new splitsModule.Splits(new seededRandom.SeededRandom(3));
  const route = splitRouteOf([1, 1]);
  splits.update([route]);
  splits.update([]);
  expect(splits.of(route)).toBeUndefined();
});
