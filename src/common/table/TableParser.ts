import * as crypto from 'node:crypto';

import * as csv from 'csv-parse/sync';

import type * as types from '../Types';
import * as columns from './Columns';
import type * as tableTypes from './Types';

/** Size limit of a value of the configuration service, in bytes. */
export const MAX_TABLE_BYTES = 1024 * 1024;

interface IRecord {
  readonly line: number;
  readonly cells: Readonly<Record<string, string>>;
}

/** Reads table text. Every problem of the text is reported, not only the first. */
export class TableParser {
  private readonly problems: tableTypes.ITableProblem[] = [];

  private readonly services = new Map<string, tableTypes.IServiceRow>();

  private readonly servers = new Map<string, tableTypes.IServerRow[]>();

  private header: { version: number; maxDaemons: number } | undefined;

  private constructor(private readonly text: string) {}

  /** Checks `text` and returns the table, or all problems in the order of their lines. */
  public static parse(
    text: string,
  ): types.Result<tableTypes.ITable, readonly tableTypes.ITableProblem[]> {
    return new TableParser(text).run();
  }

  private run(): types.Result<tableTypes.ITable, readonly tableTypes.ITableProblem[]> {
    const records = this.readRecords();
    records.forEach((record) => this.readRow(record));
    this.checkReferences(records);
    if (this.header === undefined && this.problems.length === 0) {
      this.report(1, 'kind', '', 'one row of kind "table"');
    }
    if (this.problems.length > 0 || this.header === undefined) {
      return { ok: false, error: [...this.problems].sort((a, b) => a.line - b.line) };
    }
    return {
      ok: true,
      value: {
        ...this.header,
        hash: crypto.createHash('sha256').update(this.text).digest('hex').slice(0, 16),
        services: this.services,
        servers: this.servers,
        text: this.text,
      },
    };
  }

  private readRecords(): IRecord[] {
    if (Buffer.byteLength(this.text) > MAX_TABLE_BYTES) {
      this.report(1, 'kind', `${Buffer.byteLength(this.text)} bytes`, 'at most 1048576 bytes');
      return [];
    }
    let rows: { info: { lines: number }; record: string[] }[];
    try {
      rows = csv.parse(this.text, {
        bom: true,
        info: true,
        relax_column_count: true,
        skip_empty_lines: true,
        trim: true,
      }) as unknown as { info: { lines: number }; record: string[] }[];
    } catch (error) {
      this.report(1, '', (error as Error).message, 'comma-separated values');
      return [];
    }
    const [head, ...body] = rows;
    const names = head?.record ?? [];
    this.checkHeader(names);
    return body.map((row) => ({ line: row.info.lines, cells: this.readCells(names, row) }));
  }

  private readCells(
    names: readonly string[],
    row: { info: { lines: number }; record: string[] },
  ): Record<string, string> {
    if (row.record.length > names.length) {
      const extra = row.record.slice(names.length).join(',');
      this.report(row.info.lines, '', extra, `at most ${names.length} cells`);
    }
    return Object.fromEntries(names.map((name, index) => [name, row.record[index] ?? '']));
  }

  private checkHeader(names: readonly string[]): void {
    const known: readonly string[] = columns.COLUMN_NAMES;
    names.forEach((name, index) => {
      if (!known.includes(name)) {
        this.report(1, name, name, `one of the columns ${known.join(', ')}`);
      } else if (names.indexOf(name) !== index) {
        this.report(1, name, name, 'each column once');
      }
    });
    if (!names.includes('kind')) this.report(1, 'kind', '', 'a header row with the column "kind"');
  }

  private readRow(record: IRecord): void {
    const kind = record.cells.kind ?? '';
    if (!columns.isRowKind(kind)) {
      this.report(record.line, 'kind', kind, 'table, service or server');
      return;
    }
    const read = columns.readCells(kind, record.cells);
    read.problems.forEach((problem) =>
      this.report(record.line, problem.column, problem.found, problem.accepted),
    );
    if (read.row === undefined) return;
    if (read.row.kind === 'table') this.addHeader(record, read.row);
    else if (read.row.kind === 'service') this.addService(record, read.row.service);
    else this.addServer(record, read.row.server);
  }

  private addHeader(record: IRecord, row: { version: number; maxDaemons: number }): void {
    if (this.header !== undefined) {
      this.report(record.line, 'kind', 'table', 'one row of kind "table"');
      return;
    }
    this.header = { version: row.version, maxDaemons: row.maxDaemons };
  }

  private addService(record: IRecord, service: tableTypes.IServiceRow): void {
    if (this.services.has(service.name)) {
      this.report(record.line, 'name', service.name, 'a name that no other service has');
      return;
    }
    this.services.set(service.name, service);
    if (!this.servers.has(service.name)) this.servers.set(service.name, []);
  }

  private addServer(record: IRecord, server: tableTypes.IServerRow): void {
    const siblings = this.servers.get(server.service) ?? [];
    if (siblings.some((sibling) => sibling.address === server.address)) {
      this.report(record.line, 'address', server.address, 'an address once for each service');
      return;
    }
    siblings.push(server);
    this.servers.set(server.service, siblings);
  }

  private checkReferences(records: readonly IRecord[]): void {
    records.forEach((record) => {
      const { cells } = record;
      if (cells.kind === 'server' && !this.services.has(cells.service ?? '')) {
        this.report(record.line, 'service', cells.service ?? '', 'the name of a service row');
      }
      if (cells.kind === 'service') this.checkBudget(record);
    });
  }

  private checkBudget(record: IRecord): void {
    const service = this.services.get(record.cells.name ?? '');
    const maxDaemons = this.header?.maxDaemons;
    if (service === undefined || maxDaemons === undefined) return;
    // A smaller budget than one probe per daemon cannot be divided without coordination.
    if (service.probesPerSecond > 0 && service.probesPerSecond < maxDaemons) {
      const accepted = `0, or at least max_daemons (${maxDaemons})`;
      this.report(record.line, 'probes_per_second', `${service.probesPerSecond}`, accepted);
    }
  }

  private report(line: number, column: string, found: string, accepted: string): void {
    this.problems.push({ line, column, found, accepted });
  }
}
