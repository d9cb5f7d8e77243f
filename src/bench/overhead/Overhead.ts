import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';

import * as hdr from 'hdr-histogram-js';
import * as undici from 'undici';

import * as overheadFleet from './OverheadFleet';
import * as processUsage from './ProcessUsage';
import type * as overheadTypes from './Types';

const PATHS: readonly overheadTypes.CallPath[] = ['direct', 'proxy', 'daemon'];
const WARM_UP_CALLS = 2_000;
const MICROSECONDS_PER_MS = 1_000;
const BODY = Buffer.from(JSON.stringify({ document: 'x'.repeat(200) }));

interface IMeasuredPath {
  readonly urls: readonly string[];
  readonly processId: number;
  readonly histogram: hdr.Histogram;
  processorUs: number;
}

function makeMeasuredPath(urls: readonly string[], processId: number): IMeasuredPath {
  const histogram = hdr.build({ numberOfSignificantValueDigits: 3 });
  return { urls, processId, histogram, processorUs: 0 };
}

async function callOnce(url: string, agent: undici.Agent): Promise<number> {
  const startMs = performance.now();
  const reply = await undici.request(url, { method: 'POST', body: BODY, dispatcher: agent });
  await reply.body.arrayBuffer();
  if (reply.statusCode !== 200) throw new Error(`${url} answered with status ${reply.statusCode}`);
  return performance.now() - startMs;
}

/** Sends `calls` calls, `concurrency` at once, and records the latency of each. */
async function measure(
  callPath: IMeasuredPath,
  agent: undici.Agent,
  calls: number,
  concurrency: number,
): Promise<void> {
  const before = await processUsage.usageOf(callPath.processId);
  let next = 0;
  const sendSequentially = async () => {
    while (next < calls) {
      const url = callPath.urls[next % callPath.urls.length] ?? '';
      next += 1;
      const latencyMs = await callOnce(url, agent);
      callPath.histogram.recordValue(Math.max(1, Math.round(latencyMs * MICROSECONDS_PER_MS)));
    }
  };
  await Promise.all(Array.from({ length: concurrency }, sendSequentially));
  const after = await processUsage.usageOf(callPath.processId);
  callPath.processorUs += after.processorUs - before.processorUs;
}

function percentiles(histogram: hdr.Histogram): overheadTypes.IPercentiles {
  const percentileMs = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return { p50Ms: percentileMs(50), p99Ms: percentileMs(99), p999Ms: percentileMs(99.9) };
}

async function figuresOf(
  callPath: IMeasuredPath,
  direct: overheadTypes.IPercentiles,
): Promise<overheadTypes.IPathFigures> {
  const total = percentiles(callPath.histogram);
  const difference = (key: keyof overheadTypes.IPercentiles) =>
    Math.round((total[key] - direct[key]) * MICROSECONDS_PER_MS) / MICROSECONDS_PER_MS;
  const { memoryMb } = await processUsage.usageOf(callPath.processId);
  return {
    ...total,
    added: { p50Ms: difference('p50Ms'), p99Ms: difference('p99Ms'), p999Ms: difference('p999Ms') },
    processorUsPerCall: Math.round(callPath.processorUs / callPath.histogram.totalCount),
    memoryMb: Math.round(memoryMb),
  };
}

/** Measures the time inside a daemon, in a separate run because the measurement slows it down. */
async function measureInside(
  options: overheadTypes.IOverheadOptions,
): Promise<overheadTypes.IPercentiles> {
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'lavenderspar-inside-'));
  const file = path.join(folder, 'inside.json');
  const preload = ['--require', path.join(__dirname, 'InsideTimes.js')];
  const fleet = await overheadFleet.OverheadFleet.start(preload, { INSIDE_TIMES: file });
  const agent = new undici.Agent({ pipelining: 1 });
  try {
    const callPath = makeMeasuredPath(
      [`${fleet.daemon.url}/${overheadFleet.SERVICE}/documents`],
      0,
    );
    await measure(callPath, agent, options.calls, options.concurrency);
  } finally {
    await agent.destroy();
    await fleet.stop();
  }
  const text = await fs.readFile(file, 'utf8');
  await fs.rm(folder, { recursive: true, force: true });
  return JSON.parse(text) as overheadTypes.IPercentiles;
}

/**
 * Measures the latency that a proxy adds to a call: direct, through a minimal proxy and through a
 * daemon. The paths alternate within one run, so that changes of the load of the machine affect all
 * three.
 */
export async function runOverhead(
  options: overheadTypes.IOverheadOptions,
): Promise<overheadTypes.IOverheadResult> {
  const { profileFolder, rounds, concurrency, calls } = options;
  const profile =
    profileFolder === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${profileFolder}`];
  const fleet = await overheadFleet.OverheadFleet.start(profile);
  const agent = new undici.Agent({ pipelining: 1 });
  try {
    const daemonUrl = `${fleet.daemon.url}/${overheadFleet.SERVICE}/documents`;
    const { proxy, daemon } = fleet;
    const callPaths: Record<overheadTypes.CallPath, IMeasuredPath> = {
      direct: makeMeasuredPath(
        fleet.directUrls.map((url) => `${url}/documents`),
        0,
      ),
      proxy: makeMeasuredPath([`http://127.0.0.1:${proxy.port}/documents`], proxy.child.processId),
      daemon: makeMeasuredPath([daemonUrl], daemon.child.processId),
    };
    for (const name of PATHS) await measure(callPaths[name], agent, WARM_UP_CALLS, concurrency);
    PATHS.forEach((name) => {
      callPaths[name].histogram.reset();
      callPaths[name].processorUs = 0;
    });
    for (let round = 0; round < rounds; round += 1) {
      for (const name of PATHS) {
        await measure(callPaths[name], agent, Math.ceil(calls / rounds), concurrency);
      }
    }
    const direct = percentiles(callPaths.direct.histogram);
    return {
      calls: callPaths.direct.histogram.totalCount,
      concurrency,
      ways: {
        direct: await figuresOf(callPaths.direct, direct),
        proxy: await figuresOf(callPaths.proxy, direct),
        daemon: await figuresOf(callPaths.daemon, direct),
      },
      insideDaemon: await measureInside(options),
    };
  } finally {
    await agent.destroy();
    await fleet.stop();
  }
}
