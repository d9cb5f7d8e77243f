import * as fs from 'node:fs';
import * as fsPromises from 'node:fs/promises';

import * as bunyan from 'bunyan';

import * as routedDaemon from '../node/RoutedDaemon';
import * as routedSettings from '../node/settings/RoutedSettings';
import * as startError from '../node/StartError';
import * as systemClock from '../node/SystemClock';
import * as systemRandom from '../node/SystemRandom';
import * as boundedLogStream from '../node/telemetry/BoundedLogStream';
import * as platformBackendProtocol from './PlatformBackendProtocol';
import * as platformCallerProtocol from './PlatformCallerProtocol';
import * as storeClient from './StoreClient';

/** Environment variable in which the platform names the settings file. */
const SETTINGS_VARIABLE = 'LAVENDERSPAR_BOOT';

const EXIT_FAILED = 1;
const EXIT_BAD_SETTINGS = 2;
const EXIT_CANNOT_START = 3;

function fail(message: string, exitCode: number): undefined {
  process.stderr.write(`${message}\n`);
  process.exitCode = exitCode;
  return undefined;
}

async function readSettings(path: string): Promise<routedSettings.RoutedSettings | undefined> {
  let text: string;
  try {
    text = await fsPromises.readFile(path, 'utf8');
  } catch (error) {
    return fail(`cannot read the settings: ${(error as Error).message}`, EXIT_BAD_SETTINGS);
  }
  const parsed = routedSettings.parseRoutedSettings(text);
  if (parsed.ok) return parsed.value;
  const lines = parsed.error.map((problem) => `${path}: ${problem.path}: ${problem.message}`);
  return fail(lines.join('\n'), EXIT_BAD_SETTINGS);
}

async function run(settings: routedSettings.RoutedSettings): Promise<void> {
  const clock = new systemClock.SystemClock();
  const stream = new boundedLogStream.BoundedLogStream(
    (bytes, onWritten) => fs.write(process.stdout.fd, bytes, onWritten),
    clock,
  );
  const logger = bunyan.createLogger({ name: 'lavenderspar', level: settings.logLevel, stream });
  const daemon = new routedDaemon.RoutedDaemon(
    settings,
    {
      source: new storeClient.StoreClient(settings.directoryUrl),
      callerProtocol: new platformCallerProtocol.PlatformCallerProtocol(),
      backendProtocol: new platformBackendProtocol.PlatformBackendProtocol(),
    },
    logger,
    clock,
    new systemRandom.SystemRandom(),
  );
  const stop = () => {
    daemon.stop().catch((error: Error) => {
      logger.error({ err: error }, 'stop failed');
      process.exitCode = EXIT_FAILED;
    });
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  process.on('SIGHUP', () => logger.info('settings are read at the start only'));
  try {
    await daemon.start();
  } catch (error) {
    if (!(error instanceof startError.StartError)) throw error;
    logger.fatal({ err: error }, 'daemon cannot start');
    process.exitCode = EXIT_CANNOT_START;
  }
}

async function main(): Promise<void> {
  // The build runs the program once to store its compiled code.
  if (process.argv.includes('--write-cache')) return;
  const settings = await readSettings(process.env[SETTINGS_VARIABLE] ?? '');
  if (settings !== undefined) await run(settings);
}

main().catch((error: Error) => {
  fail(error.message, EXIT_FAILED);
});
