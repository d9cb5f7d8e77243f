import * as crypto from 'node:crypto';

import * as csvStream from 'csv-parse';
import * as csv from 'csv-parse/sync';

import type * as types from '../Types';
import * as columns from './Columns';
import type * as tableTypes from './Types';

/** Maximum size of a table, in bytes. The configuration service limits values to this size. */
export const MAX_TABLE_BYTES = 1024 * 1024;

/** Rows to validate, and characters to split into cells, between yields to the event loop. */
const SLICE_ROWS = 40;
const SLICE_CHARACTERS = 4_096;

const CSV_OPTIONS = {
  bom: true,
  info: true,
  relax_column_count: true,
  skip_empty_lines: true,
  trim: true,
} as const;

type ParseResult = types.Result<tableTypes.ITable, readonly tableTypes.ITableProblem[]>;

/** Row as returned by the CSV library. */
interface ICsvRow {
  /** Lines read up to the end of the row. */
  readonly info: { readonly lines: number };
  readonly record: readonly string[];
}

interface IRecord {
  readonly line: number;
  readonly cells: Readonly<Record<string, string>>;
}

/** Parses and validates table text. Reports every problem, not only the first. */
export class TableParser {
  private readonly problems: tableTypes.ITableProblem[] = [];

  private readonly services = new Map<string, tableTypes.IServiceRow>();

  private readonly servers = new Map<string, tableTypes.IServerRow[]>();

  /** Names in all service rows, even invalid ones, or their servers would be reported too. */
  private readonly serviceNames = new Set<string>();

  /** Service and address of each server, to detect duplicates. */
  private readonly serverKeys = new Set<string>();

  private tableRow: { version: number; maxDaemons: number } | undefined;

  private tableRowCount = 0;

  private isReadable = true;

  private constructor(private readonly text: string) {}

  /** Parses `text` and returns the table, or all problems sorted by line. */
  public static parse(text: string): ParseResult {
    const parser = new TableParser(text);
    const records = parser.toRecords(parser.parseCsv());
    records.forEach((record) => parser.addRow(record));
    return parser.finish(records);
  }

  /**
   * Like `parse`, but yields to the event loop between slices, since parsing a table of the target
   * size in one go blocks calls for 10 ms or more.
   * @param yieldToEventLoop Resolves after other pending work has run.
   */
  public static async parseInSlices(
    text: string,
    yieldToEventLoop: () => Promise<void>,
  ): Promise<ParseResult> {
    const parser = new TableParser(text);
    const records = parser.toRecords(await parser.parseCsvInSlices(yieldToEventLoop));
    for (let start = 0; start < records.length; start += SLICE_ROWS) {
      records.slice(start, start + SLICE_ROWS).forEach((record) => parser.addRow(record));
      await yieldToEventLoop();
    }
    return parser.finish(records);
  }

  private finish(records: readonly IRecord[]): ParseResult {
    this.checkReferences(records);
    if (this.tableRowCount === 0 && this.isReadable)
      this.report(1, 'kind', '', 'one row of kind "table"');
    if (this.problems.length > 0 || this.tableRow === undefined) {
      return { ok: false, error: [...this.problems].sort((a, b) => a.line - b.line) };
    }
    return {
      ok: true,
      value: {
        version: this.tableRow.version,
        maxDaemons: this.tableRow.maxDaemons,
        hash: crypto.createHash('sha256').update(this.text).digest('hex').slice(0, 16),
        services: this.services,
        servers: this.servers,
        text: this.text,
      },
    };
  }

  private parseCsv(): readonly ICsvRow[] {
    if (this.reportIfTooLong()) return [];
    try {
      return csv.parse(this.text, CSV_OPTIONS) as unknown as ICsvRow[];
    } catch (error) {
      return this.reportSyntax(error as Error);
    }
  }

  private async parseCsvInSlices(
    yieldToEventLoop: () => Promise<void>,
  ): Promise<readonly ICsvRow[]> {
    if (this.reportIfTooLong()) return [];
    const rows: ICsvRow[] = [];
    const stream = csvStream.parse(CSV_OPTIONS);
    let failure: Error | undefined;
    stream.on('data', (row: ICsvRow) => rows.push(row));
    stream.on('error', (error) => {
      failure = error;
    });
    const closed = new Promise<void>((resolve) => {
      stream.on('close', resolve);
    });
    for (let start = 0; start < this.text.length && !stream.destroyed; start += SLICE_CHARACTERS) {
      stream.write(this.text.slice(start, start + SLICE_CHARACTERS));
      await yieldToEventLoop();
    }
    if (!stream.destroyed) stream.end();
    await closed;
    return failure === undefined ? rows : this.reportSyntax(failure);
  }

  private reportIfTooLong(): boolean {
    const bytes = Buffer.byteLength(this.text);
    if (bytes <= MAX_TABLE_BYTES) return false;
    this.isReadable = false;
    this.report(1, 'kind', `${bytes} bytes`, `at most ${MAX_TABLE_BYTES} bytes`);
    return true;
  }

  private reportSyntax(error: Error): [] {
    this.isReadable = false;
    const { lines } = error as Error & { lines?: number };
    this.report(lines ?? 1, '', error.message, 'comma-separated values');
    return [];
  }

  private toRecords([head, ...body]: readonly ICsvRow[]): readonly IRecord[] {
    const names = head?.record ?? [];
    if (this.isReadable) this.checkHeader(names);
    return body.map((row) => ({ line: row.info.lines, cells: this.toCells(names, row) }));
  }

  private toCells(names: readonly string[], row: ICsvRow): Record<string, string> {
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

  private addRow(record: IRecord): void {
    const kind = record.cells.kind ?? '';
    if (kind === 'table') this.countTableRow(record);
    if (kind === 'service') this.serviceNames.add(record.cells.name ?? '');
    if (!columns.isRowKind(kind)) {
      this.report(record.line, 'kind', kind, 'table, service or server');
      return;
    }
    const parsed = columns.parseRow(kind, record.cells);
    parsed.problems.forEach((problem) =>
      this.report(record.line, problem.column, problem.found, problem.accepted),
    );
    if (parsed.row === undefined) return;
    if (parsed.row.kind === 'table') this.tableRow = parsed.row;
    else if (parsed.row.kind === 'service') this.addService(record, parsed.row.service);
    else this.addServer(record, parsed.row.server);
  }

  private countTableRow(record: IRecord): void {
    this.tableRowCount += 1;
    if (this.tableRowCount > 1)
      this.report(record.line, 'kind', 'table', 'one row of kind "table"');
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
    const key = `${server.service} ${server.address}`;
    if (this.serverKeys.has(key)) {
      this.report(record.line, 'address', server.address, 'an address once for each service');
      return;
    }
    this.serverKeys.add(key);
    const serversOfService = this.servers.get(server.service) ?? [];
    serversOfService.push(server);
    this.servers.set(server.service, serversOfService);
  }

  private checkReferences(records: readonly IRecord[]): void {
    records.forEach((record) => {
      const { cells } = record;
      if (cells.kind === 'server') {
        if (!this.serviceNames.has(cells.service ?? '')) {
          this.report(record.line, 'service', cells.service ?? '', 'the name of a service row');
        }
        this.checkMaxConnections(record);
      }
      if (cells.kind === 'service') this.checkProbeBudget(record);
    });
  }

  private checkMaxConnections(record: IRecord): void {
    const found = record.cells.max_connections ?? '';
    const maxDaemons = this.tableRow?.maxDaemons;
    if (maxDaemons === undefined || !/^[1-9]\d*$/.test(found)) return;
    // Each daemon may open max_connections / max_daemons, rounded down; 0 would exclude the server.
    if (Number(found) < maxDaemons) {
      const accepted = `at least max_daemons (${maxDaemons})`;
      this.report(record.line, 'max_connections', found, accepted);
    }
  }

  private checkProbeBudget(record: IRecord): void {
    const service = this.services.get(record.cells.name ?? '');
    const maxDaemons = this.tableRow?.maxDaemons;
    if (service === undefined || maxDaemons === undefined) return;
    // A budget below one probe per second for each daemon cannot be divided without coordination.
    if (service.probesPerSecond > 0 && service.probesPerSecond < maxDaemons) {
      const accepted = `0, or at least max_daemons (${maxDaemons})`;
      this.report(record.line, 'probes_per_second', `${service.probesPerSecond}`, accepted);
    }
  }

  private report(line: number, column: string, found: string, accepted: string): void {
    this.problems.push({ line, column, found, accepted });
  }
}
