import * as hdr from 'hdr-histogram-js';

import * as seededRandom from '../common/SeededRandom';
import * as audit from '../standin/Audit';
import type * as caller from '../standin/Caller';
import * as demoFleet from './DemoFleet';
import * as events from './Events';
import * as platformDemo from './platformDemo';
import * as services from './Services';
import * as workload from './Workload';

const DAEMONS = 3;
const SEED = 1;
const DEFAULT_SECONDS = 20;
const REPORT_INTERVAL_MS = 2_000;
const MICROSECONDS_PER_MS = 1_000;

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Returns latency percentiles of the answered prompt calls, in milliseconds. */
function promptLatencies(submissions: readonly caller.ISubmission[]): {
  p50Ms: number;
  p99Ms: number;
} {
  const prompt = services.SERVICES.filter(({ cells }) => cells.class === 'prompt');
  const histogram = hdr.build({ numberOfSignificantValueDigits: 3 });
  submissions
    .filter((submission) => submission.outcome === 'answered')
    .filter(({ identity }) => prompt.some(({ cells }) => identity.startsWith(cells.name)))
    .forEach(({ latencyMs }) => histogram.recordValue(Math.round(latencyMs * MICROSECONDS_PER_MS)));
  const at = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return { p50Ms: at(50), p99Ms: at(99) };
}

function reportProgress(submissions: readonly caller.ISubmission[], startIndex: number): void {
  const recent = submissions.slice(startIndex);
  const count = (outcome: string) => recent.filter((one) => one.outcome === outcome).length;
  const { p50Ms, p99Ms } = promptLatencies(recent);
  const outcomes = `${count('answered')} answered, ${count('not-run')} refused as not run`;
  const latency = `prompt work p50 ${p50Ms.toFixed(1)} ms, p99 ${p99Ms.toFixed(1)} ms`;
  printLine(`  ${outcomes}, ${count('unknown')} unknown; ${latency}`);
}

/** Runs `action` after `delayMs` milliseconds. Resolves when it has completed. */
function runAfter(delayMs: number, action: () => Promise<unknown>): Promise<unknown> {
  return new Promise((resolve, reject) => {
    setTimeout(() => {
      action().then(resolve, reject);
    }, delayMs);
  });
}

async function run(fleet: demoFleet.DemoFleet, seconds: number): Promise<boolean> {
  const stopping = new Set<string>();
  const urls = () => fleet.daemons.map(({ url }) => url).filter((url) => !stopping.has(url));
  const load = new workload.Workload(urls, new seededRandom.SeededRandom(SEED));
  const { submissions } = load.caller;
  const durationMs = seconds * 1_000;
  const running = load.run();
  let reported = 0;
  const progress = setInterval(() => {
    reportProgress(submissions, reported);
    reported = submissions.length;
  }, REPORT_INTERVAL_MS);
  const scheduled = events.demoEvents(fleet, (url) => stopping.add(url));
  await Promise.all([
    runAfter(durationMs, async () => load.stop()),
    ...scheduled.map((event) =>
      runAfter(event.at * durationMs, () => {
        printLine(`${(event.at * seconds).toFixed(1)} s: ${event.text}`);
        return event.run();
      }),
    ),
  ]);
  await running;
  clearInterval(progress);
  await load.caller.close();
  const records = await fleet.records();
  const starts = audit.countStarts(records.flatMap(({ runs }) => runs.map((one) => one.identity)));
  const { falseNotRun, ...counts } = audit.audit(submissions, starts, workload.isAtMostOnce);
  const probes = records.reduce((sum, record) => sum + record.probesMs.length, 0);
  if (falseNotRun > 0)
    printLine(`${falseNotRun} requests were refused as "not run" although they ran`);
  printLine(JSON.stringify({ ...counts, probes, ...promptLatencies(submissions) }));
  return counts.wrongAnswers === 0 && counts.doubledRuns === 0;
}

async function main(): Promise<void> {
  const position = process.argv.indexOf('--seconds');
  const seconds = position < 0 ? DEFAULT_SECONDS : Number(process.argv[position + 1]);
  if (!(seconds > 0)) throw new Error('--seconds expects a number greater than 0');
  if (process.argv.includes('--platform')) {
    process.exitCode = (await platformDemo.run(seconds)) ? 0 : 1;
    return;
  }
  const fleet = await demoFleet.DemoFleet.start(DAEMONS, SEED);
  printLine(
    `${fleet.daemons.length} daemons and ${fleet.servers.length} backend servers are running`,
  );
  let correct = false;
  try {
    correct = await run(fleet, seconds);
  } finally {
    await fleet.stop();
  }
  process.exitCode = correct ? 0 : 1;
}

main().catch((error: Error) => {
  process.stderr.write(`${error.stack ?? error.message}\n`);
  process.exitCode = 1;
});
