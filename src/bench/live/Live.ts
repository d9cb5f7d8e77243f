import * as path from 'node:path';

import * as hdr from 'hdr-histogram-js';

import * as seededRandom from '../../common/SeededRandom';
import * as faultFleet from '../../faults/FaultFleet';
import * as scenarios from './Scenarios';
import * as pauseModule from '../../standin/pause';

const SOURCES = path.join(__dirname, '../..');
const DAEMONS = 4;
const SERVERS = 6;
const SLOTS = 3;
const SERVICE_MS = 20;
const DEADLINE_MS = 2_000;
const PROBES_PER_SECOND = 24;
const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;

/** Options of a run over real daemons. */
export interface ILiveOptions {
  readonly scenario: string;
  readonly policies: readonly string[];
  readonly seed: number;
  readonly seconds: number;
}

/** Results of one policy, with the field names of the virtual bench. */
export interface ILiveFigures {
  readonly calls: number;
  readonly answered: number;
  readonly refusedNotRun: number;
  readonly outcomeUnknown: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly probesPerSecond: number;
  readonly probesPerAnsweredCall: number;
  readonly attemptsPerCall: number;
}

function startFleet(policy: string, seed: number): Promise<faultFleet.FaultFleet> {
  return faultFleet.FaultFleet.start({
    buildFolder: SOURCES,
    daemons: DAEMONS,
    maxDaemons: DAEMONS,
    seed,
    settings: { policy },
    services: [
      {
        cells: {
          name: 'status',
          class: 'prompt',
          idempotent: 'yes',
          deadline_ms: DEADLINE_MS,
          probes_per_second: PROBES_PER_SECOND,
        },
        servers: SERVERS,
        options: { slots: SLOTS, serviceMs: SERVICE_MS, queueLimit: 200 },
      },
    ],
  });
}

/** Sends calls as an open-loop Poisson process, without waiting for earlier calls. */
async function sendCalls(
  fleet: faultFleet.FaultFleet,
  utilization: number,
  seed: number,
  durationMs: number,
): Promise<void> {
  const random = new seededRandom.SeededRandom(seed);
  const meanIntervalMs = SERVICE_MS / (utilization * SERVERS * SLOTS);
  const startMs = performance.now();
  const pending: Promise<unknown>[] = [];
  let dueMs = 0;
  for (let sequence = 0; dueMs < durationMs; sequence += 1) {
    dueMs += -Math.log(1 - random.next()) * meanIntervalMs;
    const waitMs = startMs + dueMs - performance.now();
    if (waitMs > 0) await pauseModule.pause(waitMs);
    const { url } = fleet.daemon(random.nextInteger(DAEMONS));
    pending.push(fleet.caller.submit(url, { service: 'status', identity: `call ${sequence}` }));
  }
  await Promise.all(pending);
}

function figuresOf(fleet: faultFleet.FaultFleet, seconds: number): ILiveFigures {
  const { submissions } = fleet.caller;
  const { answered, refusedNotRun, outcomeUnknown } = fleet.audit(() => false);
  const histogram = hdr.build({ numberOfSignificantValueDigits: 3 });
  submissions.forEach((submission) => {
    // An unanswered call counts with its deadline, so that refusals do not improve the tail.
    const latencyMs =
      submission.outcome === 'answered' && submission.status === 200
        ? submission.latencyMs
        : DEADLINE_MS;
    histogram.recordValue(Math.round(latencyMs * MICROSECONDS_PER_MS));
  });
  const percentileMs = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  const probes = fleet.servers.reduce(
    (sum, server) => sum + server.backend.record.probesMs.length,
    0,
  );
  const round = (value: number) => Number(value.toFixed(4));
  return {
    calls: submissions.length,
    answered,
    refusedNotRun,
    outcomeUnknown,
    p50Ms: percentileMs(50),
    p99Ms: percentileMs(99),
    p999Ms: percentileMs(99.9),
    probesPerSecond: round(probes / seconds),
    probesPerAnsweredCall: round(probes / Math.max(1, answered)),
    attemptsPerCall: round(fleet.startedIdentities.length / submissions.length),
  };
}

async function runPolicy(
  scenario: scenarios.ILiveScenario,
  policy: string,
  options: ILiveOptions,
): Promise<ILiveFigures> {
  const fleet = await startFleet(policy, options.seed);
  const durationMs = options.seconds * MS_PER_SECOND;
  try {
    const timers = scenario.events.map((event) =>
      setTimeout(() => event.run(fleet), event.atFraction * durationMs),
    );
    await sendCalls(fleet, scenario.utilization, options.seed, durationMs);
    timers.forEach((timer) => clearTimeout(timer));
    return figuresOf(fleet, options.seconds);
  } finally {
    await fleet.close();
  }
}

/** Runs a scenario under each policy in turn, over real daemons. */
export async function runLive(
  options: ILiveOptions,
  onFigures: (policy: string, figures: ILiveFigures) => void,
): Promise<object> {
  const scenario = scenarios.SCENARIOS.get(options.scenario);
  if (scenario === undefined) {
    const known = [...scenarios.SCENARIOS.keys()].join(', ');
    throw new Error(`unknown live scenario "${options.scenario}"; known scenarios: ${known}`);
  }
  const results: Record<string, ILiveFigures> = {};
  for (const policy of options.policies) {
    const figures = await runPolicy(scenario, policy, options);
    results[policy] = figures;
    onFigures(policy, figures);
  }
  return { scenario: options.scenario, kind: 'live', seed: options.seed, results };
}
