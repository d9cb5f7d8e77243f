import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';

import * as commander from 'commander';

import * as templates from '../../standin/renderTemplate';
import * as checkSettings from './checkSettings';

const TEMPLATE = path.join(__dirname, '../../../deploy/settings.yaml.template');

/** Values that the platform substitutes for the placeholders of the template. */
const PLACEHOLDER_VALUES: Readonly<Record<string, string>> = {
  'listen.front': '10.1.0.34:8548',
  'listen.ready': '10.1.0.34:8542',
  'listen.control': '10.1.0.34:8544',
  zone: 'hall',
  'provider.address': '10.200.1.7:8541',
  'seeds|json': '["10.1.0.34:8544","10.2.0.34:8544"]',
  'bounds.grace': '6s',
  'bounds.configApply': '2000ms',
  'bounds.retryBudgetRatio': '0.2',
  'bounds.budgetSlack': '58',
  'bounds.budgetWindow': '10s',
  'bounds.probesPerS': '60',
};

/** Values that only some deployments have. */
const OPTIONAL_VALUES = { 'bounds.coldOver': '1.5', 'bounds.coldSlack': '8' };

let folder: string;
let output: string;

beforeEach(async () => {
  folder = await fs.mkdtemp(path.join(os.tmpdir(), 'settings-'));
  output = '';
  const capture = (text: unknown) => {
    output += text as string;
    return true;
  };
  jest.spyOn(process.stdout, 'write').mockImplementation(capture);
  jest.spyOn(process.stderr, 'write').mockImplementation(capture);
});

afterEach(async () => {
  jest.restoreAllMocks();
  process.exitCode = 0;
  await fs.rm(folder, { recursive: true });
});

async function check(text: string, role: string): Promise<void> {
  const file = path.join(folder, 'settings.yaml');
  await fs.writeFile(file, text);
  const program = new commander.Command();
  checkSettings.register(program);
  await program.parseAsync(['node', 'lavenderspar', 'check-settings', file, '--role', role]);
}

// Guards against shipping a template that renders invalid settings.
test.each([{}, OPTIONAL_VALUES])('the template with %j renders valid settings', async (values) => {
  const text = templates.renderTemplate(await fs.readFile(TEMPLATE, 'utf8'), {
    ...PLACEHOLDER_VALUES,
    ...values,
  });
  expect(text).not.toMatch(/[{}]{2}/);
  expect(text.includes('\ncoldRateFactor: 1.5\ncoldRateAllowance: 8\n')).toBe(
    'bounds.coldOver' in values,
  );
  await check(text, 'platform');
  expect(output).toContain('valid for a daemon of the role platform');
  expect(process.exitCode ?? 0).toBe(0);
});

test('every problem of invalid settings is reported', async () => {
  await check('callerAddress: here\nspeed: 9\n', 'platform');
  expect(output).toContain('callerAddress: expected an IP address and a port');
  expect(output).toContain('speed: unknown setting');
  expect(process.exitCode).toBe(2);
});

test('settings of one role are invalid for the other', async () => {
  await check('callerAddress: 10.0.0.1:80\nplatformUrl: http://10.0.0.2:80\n', 'table');
  expect(output).toContain('peerAddress');
  expect(process.exitCode).toBe(2);
});
