import * as fs from 'node:fs';
import * as readline from 'node:readline';

import type * as commander from 'commander';

import * as exitCodes from '../ExitCodes';

/** Fields of a log line that have their own column, or do not concern the request. */
const OMITTED_FIELDS = new Set([
  'name',
  'hostname',
  'pid',
  'level',
  'time',
  'v',
  'msg',
  'event',
  'requestId',
]);

/** A log line about the request. */
export interface ITraceLine {
  /** Daemon that wrote the line. */
  readonly daemon: string;
  /** Wall-clock time at the daemon. Clocks of daemons differ. */
  readonly time: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Parses a log line about the request. Returns undefined for any other line. Skips text before the
 * first brace, such as a collector's prefix.
 */
export function parseLine(line: string, requestId: string): ITraceLine | undefined {
  const start = line.indexOf('{');
  if (start < 0 || !line.includes(requestId)) return undefined;
  let content: Record<string, unknown>;
  try {
    content = JSON.parse(line.slice(start)) as Record<string, unknown>;
  } catch {
    // Collectors truncate long lines, and other programs write to the same log.
    return undefined;
  }
  if (content.requestId !== requestId) return undefined;
  const { hostname, time, event } = content;
  const shown = Object.entries(content).filter(([name]) => !OMITTED_FIELDS.has(name));
  return {
    daemon: String(hostname),
    time: String(time),
    event: String(event),
    fields: Object.fromEntries(shown),
  };
}

/**
 * Sorts lines of one request by time within each daemon, and the daemons by their first line.
 * Lines of different daemons are not interleaved, since their clocks may differ by seconds.
 */
export function orderLines(lines: readonly ITraceLine[]): readonly ITraceLine[] {
  const byDaemon = new Map<string, ITraceLine[]>();
  lines.forEach((line) => byDaemon.set(line.daemon, [...(byDaemon.get(line.daemon) ?? []), line]));
  return [...byDaemon.values()]
    .map((group) => group.sort((left, right) => left.time.localeCompare(right.time)))
    .sort((left, right) => (left[0]?.time ?? '').localeCompare(right[0]?.time ?? ''))
    .flat();
}

async function readLines(path: string, requestId: string): Promise<ITraceLine[]> {
  const found: ITraceLine[] = [];
  const input = fs.createReadStream(path, 'utf8');
  for await (const line of readline.createInterface({ input, crlfDelay: Infinity })) {
    const parsed = parseLine(line, requestId);
    if (parsed !== undefined) found.push(parsed);
  }
  return found;
}

async function trace(requestId: string, paths: readonly string[]): Promise<void> {
  let lines: readonly ITraceLine[];
  try {
    lines = orderLines((await Promise.all(paths.map((path) => readLines(path, requestId)))).flat());
  } catch (error) {
    process.stderr.write(`cannot read the log: ${(error as Error).message}\n`);
    process.exitCode = exitCodes.BAD_INPUT;
    return;
  }
  lines.forEach(({ daemon, time, event, fields }) =>
    process.stdout.write(`${time} ${daemon} ${event} ${JSON.stringify(fields)}\n`),
  );
  if (lines.length > 0) return;
  process.stderr.write(`no line mentions the request ${requestId}; it may have been dropped\n`);
  process.exitCode = exitCodes.NOT_FOUND;
}

/** Registers the command `trace-request`. */
export function register(program: commander.Command): void {
  program
    .command('trace-request')
    .description('Print what daemons logged about one request, by daemon and time')
    .argument('<id>', 'identifier of the request')
    .argument('<logs...>', 'log files of one or more daemons')
    .action(trace);
}
