import * as fs from 'node:fs/promises';

import type * as commander from 'commander';

import * as tableDiff from '../../common/table/TableDiff';
import * as tableParser from '../../common/table/TableParser';
import type * as tableTypes from '../../common/table/Types';
import * as tableText from './tableText';

/** All tables are valid and, for `diff`, equal. */
export const EXIT_SUCCESS = 0;
/** `check`, `show`: a table is invalid. `diff`: the tables differ. */
export const EXIT_FINDINGS = 1;
/** A file cannot be read or, for `diff`, a table is invalid. */
export const EXIT_ERROR = 2;

/** Output and exit code of a command. */
export interface IReport {
  readonly exitCode: number;
  readonly output: string;
  readonly errors: string;
}

/** Result of reading and checking a file. */
type CheckedFile =
  | { readonly path: string; readonly kind: 'valid'; readonly table: tableTypes.ITable }
  | {
      readonly path: string;
      readonly kind: 'invalid';
      readonly problems: readonly tableTypes.ITableProblem[];
    }
  | { readonly path: string; readonly kind: 'unreadable'; readonly detail: string };

async function checkFile(path: string): Promise<CheckedFile> {
  let text: string;
  try {
    text = await fs.readFile(path, 'utf8');
  } catch (error) {
    return { path, kind: 'unreadable', detail: (error as Error).message };
  }
  const parsed = tableParser.TableParser.parse(text);
  if (parsed.ok) return { path, kind: 'valid', table: parsed.value };
  return { path, kind: 'invalid', problems: parsed.error };
}

function exitCodeOf(files: readonly CheckedFile[]): number {
  if (files.some(({ kind }) => kind === 'unreadable')) return EXIT_ERROR;
  return files.some(({ kind }) => kind === 'invalid') ? EXIT_FINDINGS : EXIT_SUCCESS;
}

function errorsOf(files: readonly CheckedFile[]): string {
  return files
    .map((file) => {
      if (file.kind === 'unreadable') return `${file.path}: ${file.detail}\n`;
      return file.kind === 'invalid' ? tableText.problemText(file.path, file.problems) : '';
    })
    .join('');
}

function toJson(value: unknown): string {
  return `${JSON.stringify(value, undefined, 2)}\n`;
}

function toJsonEntry(file: CheckedFile, withRows: boolean): unknown {
  if (file.kind !== 'valid') return file;
  const { path, kind, table } = file;
  return { path, kind, ...tableText.summaryOf(table), ...(withRows && tableText.rowsOf(table)) };
}

async function reportFiles(
  paths: readonly string[],
  json: boolean,
  withRows: boolean,
): Promise<IReport> {
  const files = await Promise.all(paths.map((path) => checkFile(path)));
  const exitCode = exitCodeOf(files);
  if (json) {
    return {
      exitCode,
      output: toJson(files.map((file) => toJsonEntry(file, withRows))),
      errors: '',
    };
  }
  const output = files
    .filter((file) => file.kind === 'valid')
    .map(({ path, table }) => {
      const rows = withRows ? tableText.rowText(table) : '';
      return `${path}: ${tableText.summaryText(table)}\n${rows}`;
    })
    .join('');
  return { exitCode, output, errors: errorsOf(files) };
}

/** Checks tables and reports every problem with its line and column. */
export function check(paths: readonly string[], json: boolean): Promise<IReport> {
  return reportFiles(paths, json, false);
}

/** Lists the rows of tables, with the defaults filled in. */
export function show(paths: readonly string[], json: boolean): Promise<IReport> {
  return reportFiles(paths, json, true);
}

/** Compares two tables row by row. */
export async function diff(before: string, after: string, json: boolean): Promise<IReport> {
  const files = await Promise.all([before, after].map((path) => checkFile(path)));
  const [old, next] = files;
  if (old?.kind !== 'valid' || next?.kind !== 'valid') {
    const output = json ? toJson(files.map((file) => toJsonEntry(file, false))) : '';
    return { exitCode: EXIT_ERROR, output, errors: json ? '' : errorsOf(files) };
  }
  const difference = tableDiff.diffTables(old.table, next.table);
  const exitCode = tableText.isEmpty(difference) ? EXIT_SUCCESS : EXIT_FINDINGS;
  const output = json ? toJson(difference) : tableText.differenceText(difference);
  return { exitCode, output, errors: json ? '' : tableText.versionWarning(difference) };
}

function print(report: IReport): void {
  process.stdout.write(report.output);
  process.stderr.write(report.errors);
  process.exitCode = report.exitCode;
}

/** Registers the commands `table check`, `table diff` and `table show`. */
export function register(program: commander.Command): void {
  const table = program.command('table').description('Check, compare and show tables');
  const json = ['--json', 'print JSON'] as const;
  table
    .command('check')
    .description('Check tables; exit code 1 if one is invalid, 2 if a file cannot be read')
    .argument('<files...>', 'table files (CSV)')
    .option(...json)
    .action(async (paths: string[], options: { json?: boolean }) =>
      print(await check(paths, options.json ?? false)),
    );
  table
    .command('show')
    .description('Show services and servers; exit codes as for check')
    .argument('<files...>', 'table files (CSV)')
    .option(...json)
    .action(async (paths: string[], options: { json?: boolean }) =>
      print(await show(paths, options.json ?? false)),
    );
  table
    .command('diff')
    .description(
      'Compare two tables; exit code 1 if they differ, 2 if one is unreadable or invalid',
    )
    .argument('<before>', 'table file (CSV)')
    .argument('<after>', 'table file (CSV)')
    .option(...json)
    .action(async (before: string, after: string, options: { json?: boolean }) =>
      print(await diff(before, after, options.json ?? false)),
    );
}
