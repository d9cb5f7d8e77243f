import * as platformRecords from './testing/PlatformRecords';
import * as recordDecoder from './RecordDecoder';

function itemOf(key: string, value: unknown) {
  const text = typeof value === 'string' ? value : JSON.stringify(value);
  return { key, value: Buffer.from(text).toString('base64'), revision: 7 };
}

function decode(key: string, value: unknown) {
  return recordDecoder.decodeItems([itemOf(key, value)], { era: 0, storeRevision: 9 })[0];
}

// Guards against parsing the version with the wrong radix or a duration in the wrong unit.
test('the version and the durations of a configuration are decoded', () => {
  const split = [
    { service: 'a', weight: 90 },
    { service: 'b', weight: 10 },
  ];
  const record = decode(
    'op/config',
    platformRecords.makeConfiguration(0x1c, [{ prefix: '/x/', split, timeout: '1.5s' }]),
  );
  expect(record).toMatchObject({
    kind: 'configuration',
    revision: 7,
    configuration: {
      version: 28,
      routes: [{ prefix: '/x/', targets: split, timeoutMs: 1_500, objectiveMs: 400 }],
      limits: { headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    },
  });
});

test('a server is decoded with its state and its start time', () => {
  const record = decode(
    'servers/i-1',
    platformRecords.makeServerEntry('a', '10.0.0.1:80', { state: 'draining' }),
  );
  expect(record).toMatchObject({
    kind: 'server',
    server: { id: 'i-1', state: 'draining', startedAtMs: 1_700_000_000_000, failureDomain: 'a' },
  });
});

// Guards against a kind of request without which the whole configuration is refused.
test('downloads are idempotent with large answers, and the priority of a route is decoded', () => {
  const rules = [
    { prefix: '/x/', service: 'a', kind: 'download', priority: 2 },
    { prefix: '/y/', service: 'a', kind: 'non_idempotent', priority: 0 },
  ];
  const record = decode('op/config', platformRecords.makeConfiguration(1, rules));
  expect(record).toMatchObject({
    configuration: {
      routes: [
        { idempotent: true, hasLargeAnswers: true, priority: 2 },
        { idempotent: false, hasLargeAnswers: false, priority: 0 },
      ],
    },
  });
});

test('the rate of cold servers of a service and the time that a server stays cold are decoded', () => {
  const configuration = platformRecords.makeConfiguration(1, [{ prefix: '/', service: 'a' }]);
  const { clusters } = configuration as { clusters: readonly object[] };
  const cold = clusters.map((cluster) => ({ ...cluster, warmup: '3s', warmupPerS: 7.2 }));
  expect(decode('op/config', { ...(configuration as object), clusters: cold })).toMatchObject({
    configuration: { services: [{ name: 'a', coldRequestsPerSecond: 7.2 }] },
  });
  const entry = platformRecords.makeServerEntry('a', '10.0.0.1:80', { warmupLeft: '2500ms' });
  expect(decode('servers/i-1', entry)).toMatchObject({ server: { coldMs: 2_500 } });
});

test('an evacuation is decoded with its failure domain, and so is its end', () => {
  const begun = { kind: 'evacuation', revision: 7, failureDomain: 'a', isActive: true };
  expect(decode('op/evacuate/a', {})).toEqual(begun);
  const items = [{ key: 'op/evacuate/a', revision: 9, deleted: true }];
  expect(recordDecoder.decodeItems(items, { era: 0, storeRevision: 9 })).toEqual([
    { ...begun, revision: 9, isActive: false },
  ]);
  expect(decode('op/evacuate/', {})).toMatchObject({ kind: 'unusable' });
});

/** Returns a configuration with a service whose cold servers take `rate` requests a second. */
function withColdRate(rate: unknown): unknown {
  const rules = [{ prefix: '/', service: 'a' }];
  const configuration = platformRecords.makeConfiguration(1, rules) as {
    readonly clusters: readonly object[];
  };
  const clusters = configuration.clusters.map((one) => ({ ...one, warmupPerS: rate }));
  return { ...configuration, clusters };
}

// Guards against a malformed entry that crashes the daemon or is taken for a server.
test.each([
  ['invalid JSON', '{"service"'],
  [
    'a field of the wrong type',
    platformRecords.makeServerEntry('a', '10.0.0.1:80', { slots: 'three' }),
  ],
  ['a missing field', { service: 'a' }],
  ['an unknown state', platformRecords.makeServerEntry('a', '10.0.0.1:80', { state: 'resting' })],
  ['an invalid address', platformRecords.makeServerEntry('a', 'somewhere')],
  [
    'a cold time without a unit',
    platformRecords.makeServerEntry('a', '10.0.0.1:80', { warmupLeft: '1500' }),
  ],
  [
    'a cold time that is no text',
    platformRecords.makeServerEntry('a', '10.0.0.1:80', { warmupLeft: 1_500 }),
  ],
  [
    'a negative cold time',
    platformRecords.makeServerEntry('a', '10.0.0.1:80', { warmupLeft: '-1s' }),
  ],
])('an entry with %s is unusable and identifies its server', (_name, value) => {
  expect(decode('servers/i-1', value)).toMatchObject({ kind: 'unusable', id: 'i-1', revision: 7 });
});

test.each([
  [
    'a prefix without a slash',
    platformRecords.makeConfiguration(1, [{ prefix: '/x', service: 'a' }]),
  ],
  [
    'a malformed version',
    { ...(platformRecords.makeConfiguration(1, []) as object), configVersion: '1' },
  ],
  [
    'a kind that is not known',
    platformRecords.makeConfiguration(1, [{ prefix: '/', service: 'a', kind: 'stream' }]),
  ],
  [
    'a priority that is no number',
    platformRecords.makeConfiguration(1, [{ prefix: '/', service: 'a', priority: 'high' }]),
  ],
  ['a cold rate below zero', withColdRate(-1)],
  ['a cold rate of zero', withColdRate(0)],
  ['a cold rate that is no number', withColdRate('7.2')],
  ['an empty split', platformRecords.makeConfiguration(1, [{ prefix: '/', split: [] }])],
])('a configuration with %s is unusable', (_name, value) => {
  expect(decode('op/config', value)).toMatchObject({ kind: 'unusable', id: undefined });
});

test('deletions are decoded, and keys of other writers are ignored', () => {
  const items = [
    { key: 'servers/i-2', revision: 9, deleted: true },
    itemOf('somebody/else', 'text'),
  ];
  expect(recordDecoder.decodeItems(items, { era: 0, storeRevision: 9 })).toEqual([
    { kind: 'server-removed', revision: 9, id: 'i-2' },
  ]);
});
