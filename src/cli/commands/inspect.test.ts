import * as commander from 'commander';

import * as manualClock from '../../common/ManualClock';
import * as diagnostics from '../../node/server/Diagnostics';
import * as operatorServer from '../../node/server/OperatorServer';
import * as refusalLog from '../../node/telemetry/RefusalLog';
import * as exitCodes from '../ExitCodes';
import * as inspect from './inspect';

let server: operatorServer.OperatorServer;
let state: { phase: string };

beforeEach(async () => {
  const clock = new manualClock.ManualClock();
  const fleet = { members: [], departed: [], facts: [] };
  const refusals = new refusalLog.RefusalLog(clock);
  state = { phase: 'ready' };
  const read = () => ({ ...state, fleet, refusals, balancers: new Map() });
  const daemonDiagnostics = new diagnostics.Diagnostics(
    read as unknown as () => diagnostics.IDiagnosticsState,
    clock,
  );
  server = new operatorServer.OperatorServer(daemonDiagnostics);
  await server.listen('127.0.0.1', 0, () => undefined);
});

afterEach(async () => {
  jest.restoreAllMocks();
  process.exitCode = undefined;
  await server.close();
});

async function run(...args: string[]) {
  const written = { out: '', err: '' };
  process.exitCode = undefined;
  jest.spyOn(process.stdout, 'write').mockImplementation((text) => {
    written.out += String(text);
    return true;
  });
  jest.spyOn(process.stderr, 'write').mockImplementation((text) => {
    written.err += String(text);
    return true;
  });
  const program = new commander.Command();
  inspect.register(program);
  await program.parseAsync(args, { from: 'user' });
  jest.restoreAllMocks();
  return { ...written, exitCode: process.exitCode };
}

test('status prints YAML or JSON, and its exit code tells whether the daemon is ready', async () => {
  const operator = `127.0.0.1:${server.port}`;
  const ready = await run('status', operator);
  expect(ready).toMatchObject({ err: '', exitCode: undefined });
  expect(ready.out).toMatch(/^ready: true\nphase: ready\n/);
  state.phase = 'draining';
  const unready = await run('status', operator, '--json');
  expect(JSON.parse(unready.out)).toMatchObject({ ready: false, phase: 'draining' });
  expect(unready.exitCode).toBe(exitCodes.NOT_READY);
});

test('explain prints the response or the error', async () => {
  const operator = `127.0.0.1:${server.port}`;
  expect(await run('explain', 'refusals', operator)).toMatchObject({
    out: 'totals: {}\nrecent: []\n',
  });
  expect(await run('explain', 'server', operator, '10.0.0.1:80')).toMatchObject({
    err: 'the table lists no server 10.0.0.1:80\n',
    exitCode: exitCodes.NOT_FOUND,
  });
});

// Guards against scripts that mistake an unreachable daemon for a healthy one.
test('a malformed address and an unreachable daemon have distinct exit codes', async () => {
  expect(await run('status', 'localhost')).toMatchObject({
    err: 'localhost is no IP address and port\n',
    exitCode: exitCodes.BAD_INPUT,
  });
  const operator = `127.0.0.1:${server.port}`;
  await server.close();
  const missing = await run('explain', 'budget', operator);
  expect(missing.err).toContain(`no daemon answers at ${operator}`);
  expect(missing.exitCode).toBe(exitCodes.UNREACHABLE);
});
