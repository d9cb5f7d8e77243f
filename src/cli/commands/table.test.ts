import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';

import * as tableGenerator from '../../common/table/TableGenerator';
import * as table from './table';

const SIZES = { services: 2, servers: 3, maxDaemons: 20 };

let folder = '';

async function write(name: string, text: string): Promise<string> {
  const file = path.join(folder, name);
  await fs.writeFile(file, text);
  return file;
}

beforeAll(async () => {
  folder = await fs.mkdtemp(path.join(os.tmpdir(), 'lavenderspar-table-'));
});

afterAll(() => fs.rm(folder, { recursive: true }));

test('check reports the problems of every file by line and column', async () => {
  const good = await write('good.csv', tableGenerator.generateTable(SIZES, 1));
  const bad = await write(
    'bad.csv',
    tableGenerator.generateTable(SIZES, 1).replace('prompt', 'urgent').replace(',100,4,', ',100,,'),
  );
  const report = await table.check([good, bad], false);
  expect(report.exitCode).toBe(1);
  expect(report.output).toContain(`${good}: valid, version 1,`);
  expect(report.errors).toBe(
    `${bad}:3: class: found "urgent", expected prompt or leisure\n` +
      `${bad}:5: slots: found empty, expected a whole number from 1 to 10000\n` +
      `${bad}: 2 problems\n`,
  );
});

test('exit codes distinguish valid, invalid and unreadable tables', async () => {
  const good = await write('good.csv', tableGenerator.generateTable(SIZES, 1));
  const bad = await write('bad.csv', 'kind\n');
  const missing = path.join(folder, 'missing.csv');
  const codes = async (...paths: string[]) => (await table.check(paths, false)).exitCode;
  expect([await codes(good), await codes(good, bad), await codes(bad, missing)]).toEqual([0, 1, 2]);
  const diffCodes = await Promise.all(
    [good, bad, missing].map(async (other) => (await table.diff(good, other, false)).exitCode),
  );
  expect(diffCodes).toEqual([0, 2, 2]);
});

test('diff prints one line per changed row and warns if the version is not higher', async () => {
  const before = await write('before.csv', tableGenerator.generateTable(SIZES, 2));
  const after = await write(
    'after.csv',
    tableGenerator.generateTable({ ...SIZES, servers: 2 }, 1).replace(',100,4,', ',100,5,'),
  );
  const report = await table.diff(before, after, false);
  expect(report).toEqual({
    exitCode: 1,
    output:
      '~ version 2 -> 1\n' +
      '~ server service-000 10.0.0.1:8080: slots 4 -> 5\n' +
      '- server service-000 10.2.0.3:8080\n',
    errors: 'version 1 is not higher than 2: daemons would not accept the table\n',
  });
});

test('show lists services with defaults and servers', async () => {
  const good = await write('good.csv', tableGenerator.generateTable(SIZES, 1));
  const { output } = await table.show([good], false);
  expect(output).toContain('  service-000, prompt, idempotent, request key none,');
  expect(output).toContain('40 probes/s (2 for each daemon)');
  expect(output).toContain('    10.1.0.2:8080  region-1-domain-1, weight 100, 4 slots,');
});

test('check, show and diff report the same content as JSON', async () => {
  const good = await write('good.csv', tableGenerator.generateTable(SIZES, 1));
  const bad = await write('bad.csv', 'kind\n');
  const checked: unknown = JSON.parse((await table.check([good, bad], true)).output);
  expect(checked).toMatchObject([
    { kind: 'valid', version: 1, serviceCount: 2, serverCount: 3 },
    { kind: 'invalid', problems: [{ line: 1, column: 'kind' }] },
  ]);
  const shown: unknown = JSON.parse((await table.show([good], true)).output);
  expect(shown).toMatchObject([{ services: [{ servers: [{ slots: 4 }, {}] }, {}] }]);
  const difference: unknown = JSON.parse((await table.diff(good, good, true)).output);
  expect(difference).toMatchObject({ rows: [] });
});
