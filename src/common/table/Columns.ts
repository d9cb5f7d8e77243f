import * as zod from 'zod';

import type * as tableTypes from './Types';

/** Columns of the table, in the order in which the product writes them. */
export const COLUMN_NAMES = [
  'kind',
  'name',
  'service',
  'version',
  'max_daemons',
  'class',
  'idempotent',
  'request_key',
  'deadline_ms',
  'probes_per_second',
  'hedge_percent',
  'retry_percent',
  'max_request_bytes',
  'max_answer_bytes',
  'address',
  'failure_domain',
  'weight',
  'slots',
  'max_connections',
] as const;

export type RowKind = 'table' | 'service' | 'server';

/** The contents of one row. */
export type Row =
  | { readonly kind: 'table'; readonly version: number; readonly maxDaemons: number }
  | { readonly kind: 'service'; readonly service: tableTypes.IServiceRow }
  | { readonly kind: 'server'; readonly server: tableTypes.IServerRow };

export interface ICellProblem {
  readonly column: string;
  readonly found: string;
  readonly accepted: string;
}

export interface IRowResult {
  /** Undefined if the row has a problem. */
  readonly row: Row | undefined;
  readonly problems: readonly ICellProblem[];
}

const MAX_VERSION = Number.MAX_SAFE_INTEGER;
const MAX_DEADLINE_MS = 600_000;
const MAX_BYTES = 64 * 1024 * 1024;
const DEFAULT_MAX_BYTES = '1048576';

function text(pattern: RegExp, accepted: string): zod.ZodType<string> {
  return zod.string().regex(pattern, accepted);
}

function number(minimum: number, maximum: number, fallback?: string): zod.ZodType<number> {
  const accepted = `a whole number from ${minimum} to ${maximum}`;
  return zod
    .string()
    .transform((cell) => (cell === '' && fallback !== undefined ? fallback : cell))
    .refine((cell) => /^\d{1,16}$/.test(cell), accepted)
    .transform(Number)
    .refine((value) => Number.isNaN(value) || (value >= minimum && value <= maximum), accepted);
}

function oneOf<T extends string>(values: readonly T[], fallback?: T): zod.ZodType<T> {
  const allowed: readonly string[] = values;
  return zod
    .string()
    .transform((cell) => (cell === '' && fallback !== undefined ? fallback : cell))
    .refine((cell) => allowed.includes(cell), values.join(' or '))
    .transform((cell) => cell as T);
}

const SERVICE_NAME = text(
  /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/,
  'lower-case letters, digits and hyphens, at most 63',
);
const ADDRESS = text(
  /^((25[0-5]|2[0-4]\d|1?\d?\d)(\.(25[0-5]|2[0-4]\d|1?\d?\d)){3}|\[[0-9a-f:]+\]):([1-9]\d{0,4})$/,
  'an IP address and a port, as in 10.0.0.1:8080',
);

const SCHEMAS = {
  table: zod.object({
    version: number(1, MAX_VERSION),
    max_daemons: number(1, 1000),
  }),
  service: zod.object({
    name: SERVICE_NAME,
    class: oneOf(['prompt', 'leisure'], 'prompt'),
    idempotent: oneOf(['yes', 'no']),
    request_key: oneOf(['required', 'none', '']),
    deadline_ms: number(1, MAX_DEADLINE_MS),
    probes_per_second: number(0, 100_000, '0'),
    hedge_percent: number(0, 50, '5'),
    retry_percent: number(0, 100, '10'),
    max_request_bytes: number(0, MAX_BYTES, DEFAULT_MAX_BYTES),
    max_answer_bytes: number(0, MAX_BYTES, DEFAULT_MAX_BYTES),
  }),
  server: zod.object({
    service: SERVICE_NAME,
    address: ADDRESS,
    failure_domain: text(/^[A-Za-z0-9._-]{1,63}$/, 'letters, digits, dots and hyphens, at most 63'),
    weight: number(0, 1000, '100'),
    slots: number(1, 10_000),
    max_connections: number(1, 100_000),
  }),
};

const COLUMNS_BY_KIND: Record<RowKind, readonly string[]> = {
  table: ['kind', ...Object.keys(SCHEMAS.table.shape)],
  service: ['kind', ...Object.keys(SCHEMAS.service.shape)],
  server: ['kind', ...Object.keys(SCHEMAS.server.shape)],
};

function toService(cells: zod.infer<typeof SCHEMAS.service>): tableTypes.IServiceRow {
  const idempotent = cells.idempotent === 'yes';
  const defaultRule = idempotent ? 'none' : 'required';
  return {
    name: cells.name,
    workClass: cells.class,
    idempotent,
    requestKey: cells.request_key === '' ? defaultRule : cells.request_key,
    deadlineMs: cells.deadline_ms,
    probesPerSecond: cells.probes_per_second,
    hedgeFraction: cells.hedge_percent / 100,
    retryFraction: cells.retry_percent / 100,
    maxRequestBytes: cells.max_request_bytes,
    maxAnswerBytes: cells.max_answer_bytes,
  };
}

function toServer(cells: zod.infer<typeof SCHEMAS.server>): tableTypes.IServerRow {
  return {
    service: cells.service,
    address: cells.address,
    failureDomain: cells.failure_domain,
    weight: cells.weight,
    slots: cells.slots,
    maxConnections: cells.max_connections,
  };
}

function unexpectedCells(
  kind: RowKind,
  cells: Readonly<Record<string, string>>,
): readonly ICellProblem[] {
  return Object.entries(cells)
    .filter(([column, found]) => found !== '' && !COLUMNS_BY_KIND[kind].includes(column))
    .filter(([column]) => (COLUMN_NAMES as readonly string[]).includes(column))
    .map(([column, found]) => ({ column, found, accepted: `nothing in a row of kind "${kind}"` }));
}

export function isRowKind(kind: string): kind is RowKind {
  return Object.hasOwn(SCHEMAS, kind);
}

function parseCells(
  kind: RowKind,
  cells: Readonly<Record<string, string>>,
): { row: Row | undefined; issues: readonly zod.core.$ZodIssue[] } {
  const complete = Object.fromEntries(COLUMN_NAMES.map((name) => [name, cells[name] ?? '']));
  if (kind === 'table') {
    const result = SCHEMAS.table.safeParse(complete);
    if (!result.success) return { row: undefined, issues: result.error.issues };
    const { version, max_daemons: maxDaemons } = result.data;
    return { row: { kind, version, maxDaemons }, issues: [] };
  }
  if (kind === 'service') {
    const result = SCHEMAS.service.safeParse(complete);
    if (!result.success) return { row: undefined, issues: result.error.issues };
    return { row: { kind, service: toService(result.data) }, issues: [] };
  }
  const result = SCHEMAS.server.safeParse(complete);
  if (!result.success) return { row: undefined, issues: result.error.issues };
  return { row: { kind, server: toServer(result.data) }, issues: [] };
}

/** Parses and validates the cells of one row. */
export function parseRow(kind: RowKind, cells: Readonly<Record<string, string>>): IRowResult {
  const unexpected = unexpectedCells(kind, cells);
  const { row, issues } = parseCells(kind, cells);
  const problems = issues.map((issue) => {
    const column = String(issue.path[0]);
    return { column, found: cells[column] ?? '', accepted: issue.message };
  });
  return { row: unexpected.length === 0 ? row : undefined, problems: [...unexpected, ...problems] };
}
