import * as childProcess from 'node:child_process';
import * as nodeEvents from 'node:events';
import * as fs from 'node:fs/promises';
import * as path from 'node:path';

import * as yaml from 'yaml';

import * as build from '../../faults/Build';
import * as freePorts from '../../standin/FreePorts';

jest.setTimeout(60_000);

let folder: string;
let child: childProcess.ChildProcessWithoutNullStreams;

beforeAll(async () => {
  folder = await build.build();
});

afterAll(() => fs.rm(folder, { recursive: true }));

beforeEach(async () => {
  const ports = await freePorts.freePorts(4);
  const [callerAddress, operatorAddress, peerAddress, platform] = ports.map(
    (port) => `127.0.0.1:${port}`,
  );
  const file = path.join(folder, 'daemon.yaml');
  const settings = {
    ...{ callerAddress, operatorAddress, peerAddress, failureDomain: 'a' },
    ...{ platformUrl: `http://${platform}`, platformBalancerLagMs: 100 },
  };
  await fs.writeFile(file, yaml.stringify(settings));
  child = childProcess.spawn(process.execPath, [path.join(folder, 'cli/main.js'), 'serve', file]);
});

afterEach(() => child.kill('SIGKILL'));

// Guards against a daemon that ends, with its calls in flight, because nobody reads its log any longer.
test('the end of the reader of the log does not end the daemon', async () => {
  const exit = nodeEvents.once(child, 'exit');
  await nodeEvents.once(child.stdout, 'data');
  child.stdout.destroy();
  child.stderr.destroy();
  child.kill('SIGTERM');
  expect(await exit).toEqual([0, null]);
});

test('the last line of the log is written before the daemon ends', async () => {
  const exit = nodeEvents.once(child, 'close');
  let output = '';
  child.stdout.on('data', (bytes: Buffer) => {
    output += bytes.toString();
  });
  await nodeEvents.once(child.stdout, 'data');
  child.kill('SIGTERM');
  expect(await exit).toEqual([0, null]);
  expect(output).toContain('"msg":"daemon stopped"');
});
