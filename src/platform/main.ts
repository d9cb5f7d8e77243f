import * as fsPromises from 'node:fs/promises';

import * as bunyan from 'bunyan';

import type * as types from '../common/Types';
import * as errorStop from '../node/ErrorStop';
import * as routedDaemon from '../node/RoutedDaemon';
import * as routedSettings from '../node/settings/RoutedSettings';
import * as settingsWatch from '../node/settings/SettingsWatch';
import * as startError from '../node/StartError';
import * as systemClock from '../node/SystemClock';
import * as systemRandom from '../node/SystemRandom';
import * as logStream from '../node/telemetry/makeOutputLogStream';
import * as processEndLog from '../node/telemetry/ProcessEndLog';
import * as platformBackendProtocol from './PlatformBackendProtocol';
import * as platformCallerProtocol from './PlatformCallerProtocol';
import * as storeClient from './StoreClient';

/** Environment variable in which the platform passes the path of the settings file. */
const SETTINGS_VARIABLE = 'LAVENDERSPAR_BOOT';

const EXIT_FAILED = 1;
const EXIT_BAD_SETTINGS = 2;
const EXIT_CANNOT_START = 3;

function fail(message: string, exitCode: number): void {
  process.stderr.write(`${message}\n`);
  process.exitCode = exitCode;
}

type LoadedSettings = types.Result<routedSettings.RoutedSettings, string>;

async function readSettings(path: string): Promise<LoadedSettings> {
  let text: string;
  try {
    text = await fsPromises.readFile(path, 'utf8');
  } catch (error) {
    return { ok: false, error: `cannot read the settings: ${(error as Error).message}` };
  }
  const parsed = routedSettings.parseRoutedSettings(text);
  if (parsed.ok) return parsed;
  const lines = parsed.error.map((problem) => `${path}: ${problem.path}: ${problem.message}`);
  return { ok: false, error: lines.join('\n') };
}

async function run(
  path: string,
  settings: routedSettings.RoutedSettings,
  watch: settingsWatch.SettingsWatch,
): Promise<void> {
  const clock = new systemClock.SystemClock();
  const stream = logStream.makeOutputLogStream(clock);
  const logger = bunyan.createLogger({
    name: 'lavenderspar',
    level: settings.logLevel,
    stream,
    serializers: { err: bunyan.stdSerializers.err },
  });
  const source = new storeClient.StoreClient(settings.directoryUrl, clock);
  const daemon = new routedDaemon.RoutedDaemon(
    settings,
    {
      source,
      callerProtocol: new platformCallerProtocol.PlatformCallerProtocol(),
      backendProtocol: new platformBackendProtocol.PlatformBackendProtocol(),
    },
    logger,
    clock,
    new systemRandom.SystemRandom(),
  );
  new processEndLog.ProcessEndLog(process, logger, stream, clock, () => daemon).start();
  new errorStop.ErrorStop(process, daemon, clock).start();
  const stop = () => {
    daemon.stop().catch((error: Error) => {
      logger.error({ err: error }, 'shutdown failed');
      process.exitCode = EXIT_FAILED;
    });
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  const reload = async () => {
    const loaded = await readSettings(path);
    if (!loaded.ok) {
      logger.error({ detail: loaded.error }, 'changed settings rejected');
      return;
    }
    logger.level(loaded.value.logLevel);
    source.setBaseUrl(loaded.value.directoryUrl);
    daemon.reload(loaded.value);
  };
  watch.apply(() =>
    reload().catch((error: Error) => logger.error({ err: error }, 'settings reload failed')),
  );
  try {
    await daemon.start();
  } catch (error) {
    if (!(error instanceof startError.StartError)) throw error;
    logger.fatal({ err: error }, 'daemon cannot start');
    process.exitCode = EXIT_CANNOT_START;
  }
}

async function main(): Promise<void> {
  // The build runs the program once to write its code cache.
  if (process.argv.includes('--write-cache')) return;
  const path = process.env[SETTINGS_VARIABLE] ?? '';
  const watch = new settingsWatch.SettingsWatch(path, process);
  watch.start();
  const settings = await readSettings(path);
  if (settings.ok) await run(path, settings.value, watch);
  else fail(settings.error, EXIT_BAD_SETTINGS);
}

main().catch((error: Error) => {
  fail(error.message, EXIT_FAILED);
});
