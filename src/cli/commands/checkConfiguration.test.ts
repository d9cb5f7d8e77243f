import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';

import * as commander from 'commander';
import * as fastCheck from 'fast-check';

import * as relayedDirectory from '../../node/directory/RelayedDirectory';
import * as recordDecoder from '../../platform/RecordDecoder';
import * as platformRecords from '../../platform/testing/PlatformRecords';
import * as checkConfiguration from './checkConfiguration';

const RULES = [
  { prefix: '/x/', service: 'reads', timeout: '300ms' },
  { prefix: '/y/', split: [{ service: 'reads', weight: 1 }] },
];
const VALID = JSON.stringify(platformRecords.makeConfiguration(2, RULES));

let folder: string;
let output: string;
let errors: string;

beforeEach(async () => {
  folder = await fs.mkdtemp(path.join(os.tmpdir(), 'configuration-'));
  jest.spyOn(process.stdout, 'write').mockImplementation((text) => {
    output += text as string;
    return true;
  });
  jest.spyOn(process.stderr, 'write').mockImplementation((text) => {
    errors += text as string;
    return true;
  });
});

afterEach(async () => {
  jest.restoreAllMocks();
  process.exitCode = 0;
  await fs.rm(folder, { recursive: true });
});

async function check(content: string | Uint8Array, ...parameters: string[]): Promise<number> {
  output = '';
  errors = '';
  process.exitCode = 0;
  const file = path.join(folder, 'next.json');
  await fs.writeFile(file, content);
  const program = new commander.Command();
  checkConfiguration.register(program);
  await program.parseAsync(['node', 'lavenderspar', 'check-configuration', file, ...parameters]);
  return process.exitCode ?? 0;
}

async function writeInForce(rules: Parameters<typeof platformRecords.makeConfiguration>[1]) {
  const file = path.join(folder, 'current.json');
  await fs.writeFile(file, JSON.stringify(platformRecords.makeConfiguration(2, rules)));
  return file;
}

test('findings and differences are shown, and end the command only if they are asked for', async () => {
  const inForce = await writeInForce([{ prefix: '/x/', service: 'reads' }]);
  expect(await check(VALID, '--against', inForce, '--load', 'reads=5')).toBe(0);
  expect(output).toContain('valid, version 2, 2 routes, 1 services\n');
  expect(output).toContain('warning: route route /x/ (reads.example /x/): objective 400 ms above');
  expect(output).toContain('change: version: 2 is not above 2: daemons refuse');
  expect(output).toContain('timeoutMs 1200 -> 300: callers get an error');
  expect(await check(VALID, '--fail-on-warnings')).toBe(1);
  expect(await check(VALID, '--against', inForce, '--json')).toBe(0);
  expect(JSON.parse(output)).toMatchObject({
    version: 2,
    findings: [{ kind: 'objective-above-timeout' }],
    differences: [
      { kind: 'version-not-newer' },
      { kind: 'route-changed' },
      { kind: 'route-added' },
    ],
  });
});

// Guards against an error without the place at which it is to be mended.
test('errors name their file and their place', async () => {
  expect(await check(VALID.replaceAll('"split"', '"spilt"'))).toBe(2);
  expect(errors).toContain('next.json: listeners.0.policy.1.action.service: a route names');
  expect(await check(VALID.replace('220', '"many"'))).toBe(2);
  expect(errors).toContain('next.json: clusters.0.maxConns: ');
  expect(await check(VALID, '--against', path.join(folder, 'none'))).toBe(2);
  expect(errors).toContain('cannot read the configuration');
});

/** Edits of the bytes of a configuration, most of which leave it JSON. */
const EDITED = fastCheck
  .array(
    fastCheck.record({
      from: fastCheck.constantFrom(...(VALID.match(/"[^"]*"|\d+|[[\]{}:,]/g) ?? [])),
      to: fastCheck.oneof(
        fastCheck.constantFrom('"a"', '"reads"', '0', '-1', '1.5', '1e999', 'null', '[]', '{}', ''),
        fastCheck.constantFrom(
          '"1s"',
          '"0ms"',
          '"0000000f"',
          '"/z/"',
          '"non_idempotent"',
          '\u00ff',
        ),
      ),
      nth: fastCheck.nat({ max: 5 }),
    }),
    { maxLength: 3 },
  )
  .map((edits) =>
    edits.reduce((text, { from, to, nth }) => {
      const parts = text.split(from);
      const at = Math.min(nth + 1, parts.length - 1);
      return at < 1 ? text : [parts.slice(0, at).join(from), parts.slice(at).join(from)].join(to);
    }, VALID),
  );

const CONTENT = fastCheck.oneof(
  { weight: 8, arbitrary: EDITED.map((text) => Buffer.from(text, 'latin1')) },
  EDITED.map((text) => Buffer.from(`\ufeff${text}`)),
  fastCheck.json().map((text) => Buffer.from(text)),
);

// Guards against a configuration that the check accepts and daemons refuse, and the other way round.
test('the check accepts exactly what daemons accept', async () => {
  const seen = new Set<number>();
  await fastCheck.assert(
    fastCheck.asyncProperty(CONTENT, async (content) => {
      const value = content.toString('base64');
      const items = [{ key: 'op/config', value, revision: 7 }];
      const [record] = recordDecoder.decodeItems(items, { era: 0, storeRevision: 9 });
      const exitCode = await check(content);
      seen.add(exitCode);
      expect(exitCode).toBe(record?.kind === 'configuration' ? 0 : 2);
      // Most daemons get it from a peer.
      if (exitCode === 0) relayedDirectory.parseConfiguration(JSON.stringify(record));
    }),
    { seed: 1, numRuns: 300 },
  );
  expect(seen).toEqual(new Set([0, 2]));
});
