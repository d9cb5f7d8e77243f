import * as fs from 'node:fs/promises';

import * as commander from 'commander';

import * as configurationComparison from '../../common/routing/ConfigurationComparison';
import * as configurationReview from '../../common/routing/ConfigurationReview';
import type * as routingTypes from '../../common/routing/Types';
import type * as types from '../../common/Types';
import * as makeBodyBudget from '../../node/makeBodyBudget';
import * as routedDaemon from '../../node/RoutedDaemon';
import * as configurationDecoder from '../../platform/ConfigurationDecoder';
import * as platformCallerProtocol from '../../platform/PlatformCallerProtocol';
import * as exitCodes from '../ExitCodes';
import * as configurationText from './configurationText';

const BYTES_PER_MIB = 1024 * 1024;

const HELP = `
Exit codes:
  0  daemons accept the configuration
  1  there are warnings, and --fail-on-warnings is set
  2  a file cannot be read, or daemons refuse the configuration; standard error lists every error`;

interface IOptions {
  readonly against?: string;
  readonly load: ReadonlyMap<string, number>;
  readonly memory: number;
  readonly failOnWarnings?: true;
  readonly json?: true;
}

function parsePositive(text: string): number {
  const value = Number(text);
  if (value > 0 && Number.isFinite(value)) return value;
  throw new commander.InvalidArgumentError('Expected a positive number.');
}

function parseLoad(
  text: string,
  previous: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const at = text.lastIndexOf('=');
  if (at < 1) throw new commander.InvalidArgumentError('Expected <service>=<requests/s>.');
  return new Map([...previous, [text.slice(0, at), parsePositive(text.slice(at + 1))]]);
}

async function read(path: string): Promise<types.Result<routingTypes.IConfiguration, string>> {
  let text: string;
  try {
    text = await fs.readFile(path, 'utf8');
  } catch (error) {
    return { ok: false, error: `cannot read the configuration: ${(error as Error).message}` };
  }
  const decoded = configurationDecoder.decodeConfiguration(text);
  if (decoded.ok) return decoded;
  const lines = decoded.error.map(
    ({ place, message }) => `${place === '' ? path : `${path}: ${place}`}: ${message}`,
  );
  return { ok: false, error: lines.join('\n') };
}

function boundsOf({ load, memory }: IOptions): configurationReview.IReviewBounds {
  const limits = makeBodyBudget.limitsFor(memory * BYTES_PER_MIB);
  return {
    defaultDeadlineMs: platformCallerProtocol.DEFAULT_DEADLINE_MS,
    requestBytes: limits.totalBytes - limits.answerReserveBytes,
    maxHeaderBytes: routedDaemon.MAX_HEADER_BYTES,
    loads: load,
  };
}

async function check(path: string, options: IOptions): Promise<void> {
  const { against } = options;
  const [checked, inForce] = await Promise.all([
    read(path),
    against === undefined ? undefined : read(against),
  ]);
  const errors = [checked, inForce].flatMap((result) =>
    result === undefined || result.ok ? [] : [result.error],
  );
  if (!checked.ok || errors.length > 0) {
    process.stderr.write(`${errors.join('\n')}\n`);
    process.exitCode = exitCodes.BAD_INPUT;
    return;
  }
  const { value } = checked;
  const findings = configurationReview.review(value, boundsOf(options));
  const differences = inForce?.ok ? configurationComparison.compare(inForce.value, value) : [];
  const { version, routes, services } = value;
  const lines = [
    `${path}: valid, version ${version}, ${routes.length} routes, ${services.length} services`,
    ...findings.map((finding) => `${finding.severity}: ${configurationText.findingText(finding)}`),
    ...differences
      .flatMap((difference) => configurationText.differenceLines(difference))
      .map((line) => `change: ${line}`),
  ];
  const text = options.json
    ? JSON.stringify({ version, findings, differences }, undefined, 2)
    : lines.join('\n');
  process.stdout.write(`${text}\n`);
  const hasWarnings =
    findings.some(({ severity }) => severity === 'warning') ||
    differences.some(({ kind }) => kind === 'version-not-newer');
  if (options.failOnWarnings && hasWarnings) process.exitCode = exitCodes.FAILED;
}

/** Registers the command `check-configuration`. */
export function register(program: commander.Command): void {
  program
    .command('check-configuration')
    .description('Check a configuration of routes and services before it is published')
    .argument('<configuration>', 'path of the configuration (JSON)')
    .option('--against <file>', 'configuration in force, from which the differences are shown')
    .option(
      '--load <service=rate>',
      'requests/s that each server of a service has to take; may be repeated',
      parseLoad,
      new Map<string, number>(),
    )
    .option('--memory <MiB>', 'memory of the VMs of the daemons, in MiB', parsePositive, 1_024)
    .option('--fail-on-warnings', 'end with exit code 1 if there are warnings')
    .option('--json', 'print findings and differences as JSON')
    .addHelpText('after', HELP)
    .action(check);
}
