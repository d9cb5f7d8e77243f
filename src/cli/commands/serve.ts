import * as fs from 'node:fs/promises';

import * as bunyan from 'bunyan';
import type * as commander from 'commander';

import * as daemon from '../../node/Daemon';
import * as settings from '../../node/settings/Settings';
import * as systemClock from '../../node/SystemClock';
import * as systemRandom from '../../node/SystemRandom';

/** Exit code for settings that cannot be used. */
const EXIT_BAD_SETTINGS = 2;

async function serve(path: string): Promise<void> {
  const parsed = settings.parseSettings(await fs.readFile(path, 'utf8'));
  if (!parsed.ok) {
    parsed.error.forEach((problem) => {
      process.stderr.write(`${path}: ${problem.path}: ${problem.message}\n`);
    });
    process.exitCode = EXIT_BAD_SETTINGS;
    return;
  }
  const logger = bunyan.createLogger({ name: 'lavenderspar', level: parsed.value.logLevel });
  const instance = new daemon.Daemon(
    parsed.value,
    logger,
    new systemClock.SystemClock(),
    new systemRandom.SystemRandom(),
  );
  process.once('SIGTERM', () => {
    instance.stop().catch((error: Error) => logger.error({ err: error }, 'stop failed'));
  });
  await instance.start();
}

/** Adds the command `serve`. */
export function register(program: commander.Command): void {
  program
    .command('serve')
    .description('Run a daemon')
    .argument('<settings>', 'path of the settings file (YAML)')
    .action(serve);
}
