import * as commander from 'commander';

import * as routedSettings from '../../node/settings/RoutedSettings';
import * as settings from '../../node/settings/Settings';
import * as exitCodes from '../ExitCodes';
import * as readSettings from './readSettings';

const HELP = `
Exit codes:
  0  the settings are valid
  2  the settings cannot be read or are invalid; standard error lists every problem`;

type Role = 'table' | 'platform';

async function check(path: string, options: { readonly role: Role }): Promise<void> {
  const result =
    options.role === 'table'
      ? await readSettings.readSettings(path, settings.parseSettings)
      : await readSettings.readSettings(path, routedSettings.parseRoutedSettings);
  if (result.ok) {
    process.stdout.write(`${path}: valid for a daemon of the role ${options.role}\n`);
    return;
  }
  process.stderr.write(`${result.error}\n`);
  process.exitCode = exitCodes.BAD_INPUT;
}

/** Registers the command `check-settings`. */
export function register(program: commander.Command): void {
  program
    .command('check-settings')
    .description('Check a settings file without running a daemon')
    .argument('<settings>', 'path of the settings file (YAML)')
    .addOption(
      new commander.Option(
        '--role <role>',
        'where the daemon reads its servers: a table, or the platform',
      )
        .choices(['table', 'platform'])
        .default('table'),
    )
    .addHelpText('after', HELP)
    .action(check);
}
