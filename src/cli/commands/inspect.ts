import type * as commander from 'commander';
import * as yaml from 'yaml';

import * as addresses from '../../node/settings/Addresses';
import * as exitCodes from '../ExitCodes';
import * as operatorClient from '../OperatorClient';

const STATUS_NOT_FOUND = 404;

const OPERATOR_HELP = `
<operator> is the operatorAddress of a daemon, as in 10.0.0.1:8081.

Exit codes:
  0  the daemon responded (status: and is ready)
  2  the address is malformed
  4  no daemon responds at the address
  5  status: the daemon is not ready
  6  explain server: the table lists no such server`;

interface IOptions {
  readonly json?: boolean;
}

function print(content: unknown, options: IOptions): void {
  const text = options.json === true ? JSON.stringify(content, null, 2) : yaml.stringify(content);
  process.stdout.write(`${text.trimEnd()}\n`);
}

function fail(message: string, exitCode: number): void {
  process.stderr.write(`${message}\n`);
  process.exitCode = exitCode;
}

/** Prints the response of a daemon. Returns the response body, or undefined after a failure. */
async function fetchAndPrint(
  operatorAddress: string,
  path: string,
  options: IOptions,
): Promise<unknown> {
  if (!addresses.isAddress(operatorAddress)) {
    fail(`${operatorAddress} is no IP address and port`, exitCodes.BAD_INPUT);
    return undefined;
  }
  const response = await operatorClient.get(operatorAddress, path);
  if (!response.ok) {
    fail(response.error, exitCodes.UNREACHABLE);
    return undefined;
  }
  if (response.value.status === STATUS_NOT_FOUND) {
    const { error } = response.value.body as { error: string };
    fail(error, exitCodes.NOT_FOUND);
    return undefined;
  }
  print(response.value.body, options);
  return response.value.body;
}

async function status(operatorAddress: string, options: IOptions): Promise<void> {
  const content = (await fetchAndPrint(operatorAddress, '/status', options)) as
    { ready: boolean } | undefined;
  if (content?.ready === false) process.exitCode = exitCodes.NOT_READY;
}

function registerExplain(program: commander.Command): void {
  const explain = program
    .command('explain')
    .description('Explain the decisions of a daemon')
    .addHelpText('after', OPERATOR_HELP);
  explain
    .command('server')
    .description('Whether calls are sent to a backend server, and why')
    .argument('<operator>', 'operator address of the daemon')
    .argument('<address>', 'address of the backend server, as in the table')
    .option('--json', 'print JSON')
    .action(async (operatorAddress: string, address: string, options: IOptions) => {
      await fetchAndPrint(
        operatorAddress,
        `/explain/server/${encodeURIComponent(address)}`,
        options,
      );
    });
  const topics = {
    refusals: 'Which requests were refused, and why',
    budget: 'What the probe budget is spent on',
    table: 'Which table version is active on which daemon',
  };
  Object.entries(topics).forEach(([topic, description]) => {
    explain
      .command(topic)
      .description(description)
      .argument('<operator>', 'operator address of the daemon')
      .option('--json', 'print JSON')
      .action(async (operatorAddress: string, options: IOptions) => {
        await fetchAndPrint(operatorAddress, `/explain/${topic}`, options);
      });
  });
}

/** Registers the commands `status` and `explain`. */
export function register(program: commander.Command): void {
  program
    .command('status')
    .description('Show the state of a daemon')
    .argument('<operator>', 'operator address of the daemon')
    .option('--json', 'print JSON')
    .addHelpText('after', OPERATOR_HELP)
    .action(status);
  registerExplain(program);
}
