import * as columns from './Columns';
import * as tableGenerator from './TableGenerator';
import * as tableParser from './TableParser';
import type * as tableTypes from './Types';

type Cells = Partial<Record<(typeof columns.COLUMN_NAMES)[number], string>>;

const TABLE: Cells = { kind: 'table', version: '7', max_daemons: '20' };
const SERVICE: Cells = { kind: 'service', name: 'status', idempotent: 'yes', deadline_ms: '1000' };
const SERVER: Cells = {
  kind: 'server',
  service: 'status',
  address: '10.0.0.1:8080',
  failure_domain: 'a',
  slots: '3',
  max_connections: '200',
};

function write(...rows: readonly Cells[]): string {
  const lines = rows.map((row) => columns.COLUMN_NAMES.map((name) => row[name] ?? '').join(','));
  return [columns.COLUMN_NAMES.join(','), ...lines].join('\n');
}

function problemsOf(text: string): readonly tableTypes.ITableProblem[] {
  const parsed = tableParser.TableParser.parse(text);
  return parsed.ok ? [] : parsed.error;
}

function parse(text: string): tableTypes.ITable {
  const parsed = tableParser.TableParser.parse(text);
  if (!parsed.ok) throw new Error(JSON.stringify(parsed.error));
  return parsed.value;
}

/** For each column: its row, accepted values and rejected values. */
const CASES: readonly [Cells, keyof Cells, readonly string[], readonly string[]][] = [
  [TABLE, 'version', ['1', '9007199254740991'], ['', '0', '-1', '1.5', '9007199254740992', 'x']],
  [TABLE, 'max_daemons', ['1', '200'], ['', '0', '1001', 'many']],
  [SERVICE, 'name', ['a', 'a-1'], ['', 'A', '-a', 'a-', 'a_b', 'a'.repeat(64)]],
  [SERVICE, 'class', ['', 'prompt', 'leisure'], ['urgent']],
  [SERVICE, 'idempotent', ['yes', 'no'], ['', 'true']],
  [SERVICE, 'request_key', ['', 'required', 'none'], ['optional']],
  [SERVICE, 'deadline_ms', ['1', '600000'], ['', '0', '600001', '1s']],
  [SERVICE, 'probes_per_second', ['', '0', '20', '100000'], ['1', '19', '100001', 'x']],
  [SERVICE, 'hedge_percent', ['', '0', '50'], ['51', '-1']],
  [SERVICE, 'retry_percent', ['', '0', '100'], ['101']],
  [SERVICE, 'max_request_bytes', ['', '0', '67108864'], ['67108865']],
  [SERVICE, 'max_answer_bytes', ['', '0', '67108864'], ['1MB']],
  [SERVER, 'service', ['status'], ['', 'other', 'Status']],
  [SERVER, 'address', ['[fd00::1]:1', '255.1.1.1:99999'], ['', 'host:80', '10.0.0.256:80']],
  [SERVER, 'failure_domain', ['A.b_c-1'], ['', 'a b']],
  [SERVER, 'weight', ['', '0', '1000'], ['1001']],
  [SERVER, 'slots', ['1', '10000'], ['', '0']],
  [SERVER, 'max_connections', ['20', '100000'], ['', '0', '19', '100001']],
];

test.each(CASES)('column %#', (row, column, accepted, rejected) => {
  // Omits the server row for `name`, since it refers to the original service name.
  const all = column === 'name' ? [TABLE, SERVICE] : [TABLE, SERVICE, SERVER];
  const rows = (value: string) =>
    all.map((other) => (other === row ? { ...row, [column]: value } : other));
  const line = 2 + [TABLE, SERVICE, SERVER].indexOf(row);
  accepted.forEach((value) => expect(problemsOf(write(...rows(value)))).toEqual([]));
  rejected.forEach((value) =>
    expect(problemsOf(write(...rows(value)))).toContainEqual(
      expect.objectContaining({ line, column, found: value }),
    ),
  );
});

test('every column has a case', () => {
  const covered = CASES.map(([, column]) => column);
  expect(['kind', ...covered].sort()).toEqual([...columns.COLUMN_NAMES].sort());
});

test('cells become typed values, with defaults where a cell is empty', () => {
  const table = parse(write(TABLE, { ...SERVICE, idempotent: 'no' }, { ...SERVER, weight: '0' }));
  expect(table).toMatchObject({ version: 7, maxDaemons: 20 });
  expect(table.services.get('status')).toEqual({
    name: 'status',
    workClass: 'prompt',
    idempotent: false,
    requestKey: 'required',
    deadlineMs: 1_000,
    probesPerSecond: 0,
    hedgeFraction: 0.05,
    retryFraction: 0.1,
    maxRequestBytes: 1_048_576,
    maxAnswerBytes: 1_048_576,
  });
  expect(table.servers.get('status')).toMatchObject([{ weight: 0, maxConnections: 200 }]);
});

test('all problems are reported at once, sorted by line', () => {
  const text = write(
    { ...TABLE, max_daemons: '0' },
    { ...SERVICE, deadline_ms: 'soon', class: 'urgent' },
    SERVICE,
    { ...SERVER, slots: '0', name: 'stray' },
    { ...SERVER, address: '10.0.0.2' },
    { kind: 'servre' },
  );
  expect(problemsOf(text).map(({ line, column }) => [line, column])).toEqual([
    [2, 'max_daemons'],
    [3, 'class'],
    [3, 'deadline_ms'],
    [5, 'name'],
    [5, 'slots'],
    [6, 'address'],
    [7, 'kind'],
  ]);
});

test('a missing or duplicate table row is reported along with other problems', () => {
  const columnsOf = (text: string) => problemsOf(text).map(({ line, column }) => [line, column]);
  expect(columnsOf(write({ ...SERVICE, class: 'x' }))).toEqual([
    [1, 'kind'],
    [2, 'class'],
  ]);
  expect(columnsOf(write(TABLE, { ...TABLE, version: '8' }))).toEqual([[3, 'kind']]);
});

test('duplicate services and addresses are problems', () => {
  expect(problemsOf(write(TABLE, SERVICE, SERVICE, SERVER, SERVER))).toMatchObject([
    { line: 4, column: 'name' },
    { line: 6, column: 'address' },
  ]);
});

test('unknown, duplicate and missing columns are problems', () => {
  expect(problemsOf('kind,version,max_daemons,wieght\ntable,1,20,5')).toMatchObject([
    { line: 1, column: 'wieght' },
  ]);
  expect(problemsOf('kind,version,version,max_daemons\ntable,1,1,20')).toMatchObject([
    { line: 1, column: 'version' },
  ]);
  expect(problemsOf('version,max_daemons\n1,20')).toContainEqual(
    expect.objectContaining({ line: 1, column: 'kind' }),
  );
  expect(problemsOf('kind,version,max_daemons\ntable,1,20,9')).toMatchObject([{ line: 2 }]);
});

test('spreadsheet exports with byte order mark, CRLF, quotes and empty lines are parsed', () => {
  const text = `\uFEFF${write(TABLE, SERVICE).replace(/\n/g, '\r\n')}\r\n\r\n"table"`;
  expect(problemsOf(text)).toMatchObject([
    { line: 5, column: 'kind' },
    { line: 5, column: 'version' },
    { line: 5, column: 'max_daemons' },
  ]);
});

test('malformed, oversized or empty text is reported as a problem, not thrown', () => {
  expect(problemsOf('kind,version\n"table,1\nx')).toContainEqual(
    expect.objectContaining({ accepted: 'comma-separated values' }),
  );
  const long = `${write(TABLE)}\n${' '.repeat(tableParser.MAX_TABLE_BYTES)}`;
  expect(problemsOf(long)).toMatchObject([{ accepted: 'at most 1048576 bytes' }]);
  expect(problemsOf('')).toContainEqual(expect.objectContaining({ line: 1, column: 'kind' }));
});

test('parsing in slices gives the same result as parsing at once', async () => {
  const valid = tableGenerator.generateTable(tableGenerator.TARGET_SIZES, 3);
  const texts = [valid, `${valid}server,,unknown\n`, `${valid}"`, '', 'a'.repeat(2_000_000)];
  let yields = 0;
  const sliced = await Promise.all(
    texts.map((text) =>
      tableParser.TableParser.parseInSlices(text, () => {
        yields += 1;
        return Promise.resolve();
      }),
    ),
  );
  expect(sliced).toEqual(texts.map((text) => tableParser.TableParser.parse(text)));
  expect(yields).toBeGreaterThan(50);
});

test('the generated table at target size is valid and fits the configuration service', () => {
  const text = tableGenerator.generateTable(tableGenerator.TARGET_SIZES, 3);
  const table = parse(text);
  expect(table.services.size).toBe(92);
  expect([...table.servers.values()].flat()).toHaveLength(770);
  expect(Buffer.byteLength(text)).toBeLessThan(tableParser.MAX_TABLE_BYTES);
});
