import * as childProcess from 'node:child_process';
import * as crypto from 'node:crypto';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';

import * as undici from 'undici';
import * as yaml from 'yaml';

import * as backendServer from '../standin/BackendServer';
import * as configurationService from '../standin/ConfigurationService';

const DAEMONS = 3;
const SERVERS = 12;
const CALLERS = 12;
const BASE_PORT = 21_000;

interface ISummary {
  answered: number;
  refusedNotRun: number;
  outcomeUnknown: number;
  wrongAnswers: number;
  latenciesMs: number[];
}

async function startDaemon(index: number, folder: string, platformUrl: string) {
  const settings = path.join(folder, `daemon-${index}.yaml`);
  const port = BASE_PORT + index * 10;
  await fs.writeFile(
    settings,
    yaml.stringify({
      callerAddress: `127.0.0.1:${port}`,
      operatorAddress: `127.0.0.1:${port + 1}`,
      peerAddress: `127.0.0.1:${port + 2}`,
      failureDomain: `domain-${index % 3}`,
      platformUrl,
      logLevel: 'warn',
    }),
  );
  const executable = path.join(__dirname, '../cli/main.js');
  const child = childProcess.spawn(process.execPath, [executable, 'serve', settings], {
    stdio: 'inherit',
  });
  return { child, url: `http://127.0.0.1:${port}` };
}

async function callOnce(url: string, summary: ISummary): Promise<void> {
  const identity = crypto.randomUUID();
  const body = `body of ${identity}`;
  const expected = crypto.createHash('sha256').update(identity).update(body).digest('hex');
  const startMs = performance.now();
  const reply = await undici.request(`${url}/status-tracking/documents`, {
    method: 'POST',
    headers: { 'test-identity': identity },
    body,
  });
  const text = await reply.body.text();
  if (reply.headers['request-outcome'] === 'answered') {
    summary.answered += 1;
    summary.latenciesMs.push(performance.now() - startMs);
    if ((JSON.parse(text) as { checksum: string }).checksum !== expected) summary.wrongAnswers += 1;
  } else if (reply.headers['request-outcome'] === 'not-run') summary.refusedNotRun += 1;
  else summary.outcomeUnknown += 1;
}

async function main(): Promise<void> {
  const seconds = Number(process.argv[process.argv.indexOf('--seconds') + 1] ?? 20) || 20;
  const servers = Array.from(
    { length: SERVERS },
    () => new backendServer.BackendServer({ slots: 3, serviceMs: 10 }),
  );
  const ports = await Promise.all(servers.map((server) => server.listen()));
  const platform = new configurationService.ConfigurationService();
  const rows = [
    'kind,name,service,version,max_daemons,class,idempotent,deadline_ms,address,failure_domain,slots,max_connections',
    'table,,,1,20,,,,,,,',
    'service,status-tracking,,,,prompt,yes,1000,,,,',
    ...ports.map(
      (port, index) => `server,,status-tracking,,,,,,127.0.0.1:${port},domain-${index % 3},3,200`,
    ),
  ];
  platform.publish('table', rows.join('\n'));
  const vms = Array.from({ length: DAEMONS }, (_, index) => ({
    address: `127.0.0.1:${BASE_PORT + index * 10 + 2}`,
    role: 'daemon',
    failureDomain: `domain-${index % 3}`,
    state: 'live',
  }));
  platform.publish('vms', JSON.stringify({ revision: 1, vms }));
  const platformPort = await platform.listen();
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'lavenderspar-demo-'));
  const daemons = await Promise.all(
    vms.map((_, index) => startDaemon(index, folder, `http://127.0.0.1:${platformPort}`)),
  );
  await new Promise((resolve) => {
    setTimeout(resolve, 3_000);
  });
  const summary: ISummary = {
    answered: 0,
    refusedNotRun: 0,
    outcomeUnknown: 0,
    wrongAnswers: 0,
    latenciesMs: [],
  };
  const endMs = performance.now() + seconds * 1_000;
  await Promise.all(
    Array.from({ length: CALLERS }, async (_, caller) => {
      const { url } = daemons[caller % DAEMONS] as { url: string };
      while (performance.now() < endMs) {
        // Each caller waits for its answer before the next call.

        await callOnce(url, summary);
      }
    }),
  );
  daemons.forEach(({ child }) => child.kill('SIGTERM'));
  await Promise.all(servers.map((server) => server.close()));
  await platform.close();
  const { latenciesMs, ...counts } = summary;
  latenciesMs.sort((a, b) => a - b);
  const doubledRuns = servers
    .flatMap((server) => [...server.runs.values()])
    .filter((runs) => runs > 1).length;
  const result = {
    ...counts,
    doubledRuns,
    probes: servers.reduce((sum, server) => sum + server.probes, 0),
    p50Ms: latenciesMs[Math.floor(latenciesMs.length * 0.5)] ?? 0,
    p99Ms: latenciesMs[Math.floor(latenciesMs.length * 0.99)] ?? 0,
  };
  process.stdout.write(`${JSON.stringify(result)}\n`);
  process.exitCode = result.wrongAnswers + result.doubledRuns > 0 ? 1 : 0;
}

main().catch((error: Error) => {
  process.stderr.write(`${error.stack ?? error.message}\n`);
  process.exitCode = 1;
});
