import * as columns from './Columns';

/** Sizes of a generated table. */
export interface ITableSizes {
  readonly services: number;
  readonly servers: number;
  readonly maxDaemons: number;
}

/** The largest table that the fleet is designed for. */
export const TARGET_SIZES: ITableSizes = { services: 92, servers: 770, maxDaemons: 200 };

const FAILURE_DOMAINS = 6;

function toLine(cells: Readonly<Record<string, string | number>>): string {
  return columns.COLUMN_NAMES.map((name) => cells[name] ?? '').join(',');
}

function serviceName(index: number): string {
  return `service-${`${index}`.padStart(3, '0')}`;
}

function serviceLine(index: number, maxDaemons: number): string {
  const idempotent = index % 4 !== 3;
  return toLine({
    kind: 'service',
    name: serviceName(index),
    class: index % 3 === 2 ? 'leisure' : 'prompt',
    idempotent: idempotent ? 'yes' : 'no',
    request_key: idempotent ? 'none' : 'required',
    deadline_ms: 2_000,
    probes_per_second: maxDaemons * 2,
    hedge_percent: 5,
    retry_percent: 10,
    max_request_bytes: 1_048_576,
    max_answer_bytes: 4_194_304,
  });
}

function serverLine(index: number, services: number): string {
  return toLine({
    kind: 'server',
    service: serviceName(index % services),
    address: `10.${index % FAILURE_DOMAINS}.${Math.floor(index / 250)}.${(index % 250) + 1}:8080`,
    failure_domain: `region-${index % 2}-domain-${index % FAILURE_DOMAINS}`,
    weight: 100,
    slots: 4,
    max_connections: 1_000,
  });
}

/** Generates a valid table with every column filled, for benchmarks and tests. */
export function generateTable(sizes: ITableSizes, version: number): string {
  const services = Array.from({ length: sizes.services }, (_, index) =>
    serviceLine(index, sizes.maxDaemons),
  );
  const servers = Array.from({ length: sizes.servers }, (_, index) =>
    serverLine(index, sizes.services),
  );
  const tableRow = toLine({ kind: 'table', version, max_daemons: sizes.maxDaemons });
  return [columns.COLUMN_NAMES.join(','), tableRow, ...services, ...servers, ''].join('\n');
}
