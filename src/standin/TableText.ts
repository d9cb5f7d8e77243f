import * as columns from '../common/table/Columns';

/** Cells of a service row, by column name. */
export interface IServiceCells {
  readonly name: string;
  readonly class: 'prompt' | 'leisure';
  readonly idempotent: 'yes' | 'no';
  readonly request_key?: 'required' | 'none';
  readonly deadline_ms: number;
  readonly probes_per_second?: number;
  readonly hedge_percent?: number;
  readonly retry_percent?: number;
}

/** Cells of a server row, by column name. */
export interface IServerCells {
  readonly service: string;
  readonly address: string;
  readonly failure_domain: string;
  readonly slots: number;
  readonly max_connections: number;
  readonly weight?: number;
}

/** Formats a table in the CSV form that operators publish. */
export function formatTable(
  version: number,
  maxDaemons: number,
  services: readonly IServiceCells[],
  servers: readonly IServerCells[],
): string {
  const rows: Readonly<Record<string, unknown>>[] = [
    { kind: 'table', version, max_daemons: maxDaemons },
    ...services.map((cells) => ({ kind: 'service', ...cells })),
    ...servers.map((cells) => ({ kind: 'server', ...cells })),
  ];
  const lines = rows.map((row) =>
    columns.COLUMN_NAMES.map((column) => `${row[column] ?? ''}`).join(','),
  );
  return [columns.COLUMN_NAMES.join(','), ...lines].join('\n');
}

/** Formats a VM list as JSON. */
export function formatVmList(
  revision: number,
  vms: readonly {
    readonly address: string;
    readonly role: 'daemon' | 'backend-server';
    readonly failureDomain: string;
    readonly state: 'live' | 'leaving';
  }[],
): string {
  return JSON.stringify({ revision, vms });
}
