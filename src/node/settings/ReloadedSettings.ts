import type * as routedSettings from './RoutedSettings';

type Name = keyof routedSettings.RoutedSettings;

/**
 * Settings that need a restart: those of open sockets, of the identity by which callers
 * and peers know this daemon, and the size of its memory.
 */
const FIXED_WHILE_RUNNING = new Set<Name>([
  'callerAddress',
  'readinessAddress',
  'readinessPath',
  'peerAddress',
  'failureDomain',
  'memoryMb',
]);

/** Result of reloading a changed settings file. */
export interface IReloadedSettings {
  /** The settings that are active after the reload. */
  readonly settings: routedSettings.RoutedSettings;
  /** Names of the settings that take effect now. */
  readonly applied: readonly Name[];
  /** Names of the settings that take effect at the next start. */
  readonly deferred: readonly Name[];
}

/** Merges the settings of `loaded` that may change while the daemon runs into `current`. */
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
