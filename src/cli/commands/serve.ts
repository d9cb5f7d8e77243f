import * as bunyan from 'bunyan';
import type * as commander from 'commander';

import * as daemon from '../../node/Daemon';
import * as errorStop from '../../node/ErrorStop';
import * as startError from '../../node/StartError';
import * as settings from '../../node/settings/Settings';
import * as systemClock from '../../node/SystemClock';
import * as systemRandom from '../../node/SystemRandom';
import * as logStream from '../../node/telemetry/makeOutputLogStream';
import * as processEndLog from '../../node/telemetry/ProcessEndLog';
import * as exitCodes from '../ExitCodes';
import * as readSettings from './readSettings';

const HELP = `
The daemon writes its log to standard output as JSON lines. SIGTERM and SIGINT shut it down
gracefully: it becomes unready, keeps serving for platformBalancerLagMs, and finishes every call in
flight.

Exit codes:
  0  graceful shutdown
  1  unexpected error
  2  the settings cannot be read or are invalid
  3  the daemon cannot listen on an address from the settings`;

function fail(message: string, exitCode: number): void {
  process.stderr.write(`${message}\n`);
  process.exitCode = exitCode;
}

async function run(options: settings.Settings): Promise<void> {
  const clock = new systemClock.SystemClock();
  const stream = logStream.makeOutputLogStream(clock);
  const logger = bunyan.createLogger({
    name: 'lavenderspar',
    level: options.logLevel,
    stream,
    serializers: { err: bunyan.stdSerializers.err },
  });
  const instance = new daemon.Daemon(options, logger, clock, new systemRandom.SystemRandom());
  new processEndLog.ProcessEndLog(process, logger, stream, clock, () => instance).start();
  const stoppable = { stopGrace: undefined, stop: () => instance.stop() };
  new errorStop.ErrorStop(process, stoppable, clock).start();
  const stop = () => {
    instance.stop().catch((error: Error) => {
      logger.error({ err: error }, 'shutdown failed');
      process.exitCode = exitCodes.FAILED;
    });
  };
  // Stays registered: the default action of a second signal would abort the calls in flight.
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  try {
    await instance.start();
  } catch (error) {
    if (!(error instanceof startError.StartError)) throw error;
    logger.fatal({ err: error }, 'daemon cannot start');
    fail(error.message, exitCodes.CANNOT_START);
  }
}

async function serve(path: string): Promise<void> {
  const options = await readSettings.readSettings(path, settings.parseSettings);
  if (options.ok) await run(options.value);
  else fail(options.error, exitCodes.BAD_INPUT);
}

/** Registers the command `serve`. */
export function register(program: commander.Command): void {
  program
    .command('serve')
    .description('Run a daemon')
    .argument('<settings>', 'path of the settings file (YAML)')
    .addHelpText('after', HELP)
    .action(serve);
}
