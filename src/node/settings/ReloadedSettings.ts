import type * as routedSettings from './RoutedSettings';

type Name = keyof routedSettings.RoutedSettings;

/** Settings of sockets that are open, and of the place that callers and peers know. */
const FIXED_WHILE_RUNNING = new Set<Name>([
  'callerAddress',
  'readinessAddress',
  'readinessPath',
  'peerAddress',
  'failureDomain',
]);

/** What a changed settings file leads to. */
export interface IReloadedSettings {
  /** The settings in force from now on. */
  readonly settings: routedSettings.RoutedSettings;
  /** Names of the settings that take effect now. */
  readonly applied: readonly Name[];
  /** Names of the settings that take effect at the next start. */
  readonly deferred: readonly Name[];
}

/** Takes over from `loaded` what may change while the daemon runs. */
export function mergeReloaded(
  current: routedSettings.RoutedSettings,
  loaded: routedSettings.RoutedSettings,
): IReloadedSettings {
  const changed = (Object.keys(loaded) as Name[]).filter(
    (name) => JSON.stringify(loaded[name]) !== JSON.stringify(current[name]),
  );
  const deferred = changed.filter((name) => FIXED_WHILE_RUNNING.has(name));
  const kept = Object.fromEntries(deferred.map((name) => [name, current[name]]));
  return {
    settings: { ...loaded, ...kept },
    applied: changed.filter((name) => !FIXED_WHILE_RUNNING.has(name)),
    deferred,
  };
}
