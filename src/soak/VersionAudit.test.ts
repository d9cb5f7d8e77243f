import * as versionAudit from './VersionAudit';

const PUBLICATIONS = [
  { version: 1, atMs: 0 },
  { version: 2, atMs: 10_000 },
];

const SAMPLE = { daemon: 1, version: 1, atMs: 12_100 };

// Guards against an audit that passes because it does not check, or that blames what is excused.
test.each([
  ['an older version after the bound is late', SAMPLE, 'server', 1],
  ['an older version within the bound is not', { ...SAMPLE, atMs: 11_900 }, 'server', 0],
  ['the newest version is not', { ...SAMPLE, version: 2 }, 'server', 0],
  ['an older version after a fault of the store is excused', SAMPLE, 'store', 0],
  ['an older version after a fault of the daemon is excused', SAMPLE, 'daemon-failure', 0],
  ['a fault of another daemon excuses nothing', { ...SAMPLE, daemon: 2 }, 'daemon-failure', 1],
] as const)('%s', (_case, sample, kind, late) => {
  const fault = { kind, componentIndex: 1, beginMs: 9_000, endMs: 9_500 };
  expect(versionAudit.findLate([sample], PUBLICATIONS, [fault])).toHaveLength(late);
});
