import * as reloadedSettings from './ReloadedSettings';
import type * as routedSettings from './RoutedSettings';

const CURRENT: routedSettings.RoutedSettings = {
  callerAddress: '10.0.0.1:80',
  readinessAddress: '10.0.0.1:81',
  readinessPath: '/ready',
  peerAddress: '10.0.0.1:82',
  failureDomain: 'a',
  directoryUrl: 'http://10.0.0.9:80',
  seedPeers: ['10.0.0.2:82'],
  changeDeadline: 2_000,
  stopGrace: 6_000,
  retryFraction: 0.2,
  retryAllowance: 50,
  retryWindow: 10_000,
  checksPerSecond: 60,
  answerReadTimeout: 60_000,
  logLevel: 'info',
};

// Guards against a limit that has no effect when it is lowered while the daemon runs.
test('changed limits and seed peers are applied, and changed listen addresses are deferred', () => {
  const loaded = { ...CURRENT, seedPeers: [], checksPerSecond: 40, callerAddress: '10.0.0.1:90' };
  const merged = reloadedSettings.mergeReloaded(CURRENT, loaded);
  expect(merged.settings).toEqual({ ...CURRENT, seedPeers: [], checksPerSecond: 40 });
  expect(merged.applied).toEqual(['seedPeers', 'checksPerSecond']);
  expect(merged.deferred).toEqual(['callerAddress']);
});

test('equal settings change nothing', () => {
  const merged = reloadedSettings.mergeReloaded(CURRENT, {
    ...CURRENT,
    seedPeers: ['10.0.0.2:82'],
  });
  expect(merged).toEqual({ settings: CURRENT, applied: [], deferred: [] });
});
