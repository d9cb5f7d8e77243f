import * as soakFleet from './SoakFleet';
import type * as soakTypes from './Types';

/** Time after which a draining server must get no new work, in milliseconds. */
const LEAVING_LIMIT_MS = 2_500;

/** Time after a fault during which `LEAVING_LIMIT_MS` does not apply, in milliseconds. */
const RECOVERY_MS = 5_000;

/**
 * Time after the last byte of a request by which a stopping daemon has read it, in milliseconds. The
 * audit counts it from the start of the call.
 */
const READ_LIMIT_MS = 200;

function countBy<T>(items: readonly T[], key: (item: T) => string): Map<string, number> {
  const counts = new Map<string, number>();
  items.forEach((item) => counts.set(key(item), (counts.get(key(item)) ?? 0) + 1));
  return counts;
}

/** Records of the callers, servers and faults of a soak run. */
export interface IObservations {
  readonly calls: readonly soakTypes.ICallRecord[];
  readonly runs: readonly soakTypes.IRunRecord[];
  readonly faultIntervals: readonly soakTypes.IFaultInterval[];
}

/** Violations of the guarantees of the daemons, by guarantee. */
export interface IViolations {
  readonly wrongAnswers: readonly soakTypes.ICallRecord[];
  readonly falseNotRun: readonly soakTypes.ICallRecord[];
  readonly doubledRuns: readonly soakTypes.ICallRecord[];
  readonly cutInFlight: readonly soakTypes.ICallRecord[];
  readonly workOnLeaving: readonly soakTypes.IRunRecord[];
  readonly budgetOverruns: number;
}

function isCut(
  call: soakTypes.ICallRecord,
  hasRun: boolean,
  faultIntervals: readonly soakTypes.IFaultInterval[],
): boolean {
  if (call.status !== undefined) return false;
  const daemonFaults = faultIntervals.filter(
    ({ componentIndex, kind }) => componentIndex === call.daemon && kind.startsWith('daemon-'),
  );
  const overlaps = (one: soakTypes.IFaultInterval) =>
    one.beginMs <= call.endMs && one.endMs >= call.startMs;
  const wasStopped = daemonFaults.some((one) => one.kind === 'daemon-stop' && overlaps(one));
  const hasFailed = daemonFaults.some((one) => one.kind === 'daemon-failure' && overlaps(one));
  const wasRead = hasRun || call.endMs - call.startMs > READ_LIMIT_MS;
  return wasStopped && !hasFailed && wasRead;
}

/** Counts the services whose repeated runs exceed the retry budget in any window. */
function countBudgetOverruns({ calls, runs }: IObservations): number {
  return [...soakFleet.SERVICES.keys()].filter((service) => {
    const seen = new Set<string>();
    const repeatsMs = runs
      .filter((run) => run.service === service)
      .filter(({ requestId }) => seen.has(requestId) || !seen.add(requestId))
      .map(({ atMs }) => atMs);
    const startsMs = calls.filter((call) => call.service === service).map((call) => call.startMs);
    const countInWindow = (timesMs: readonly number[], endMs: number) =>
      timesMs.filter((atMs) => atMs <= endMs && atMs > endMs - soakFleet.RETRY_WINDOW_MS).length;
    return repeatsMs.some((endMs) => {
      const allowed =
        soakFleet.RETRY_FRACTION * countInWindow(startsMs, endMs) + soakFleet.RETRY_ALLOWANCE;
      return countInWindow(repeatsMs, endMs) > allowed;
    });
  }).length;
}

/** Checks the guarantees of the daemons against the records. */
export function audit(observations: IObservations): IViolations {
  const { calls, runs, faultIntervals } = observations;
  const runCounts = countBy(runs, ({ requestId }) => requestId);
  const hasRun = ({ requestId }: soakTypes.ICallRecord) => runCounts.has(requestId);
  // A daemon that is down or cannot reach the store learns late that a server is draining.
  const isNearFault = (atMs: number) =>
    faultIntervals.some(
      ({ kind, beginMs, endMs }) =>
        kind !== 'server' && beginMs <= atMs && endMs + RECOVERY_MS >= atMs,
    );
  return {
    wrongAnswers: calls.filter(({ end }) => end === 'wrong-answer'),
    falseNotRun: calls.filter((call) => call.end === 'refused-not-run' && hasRun(call)),
    doubledRuns: calls.filter(
      (call) => !call.idempotent && (runCounts.get(call.requestId) ?? 0) > 1,
    ),
    cutInFlight: calls.filter((call) => isCut(call, hasRun(call), faultIntervals)),
    workOnLeaving: runs.filter(
      ({ leavingForMs, atMs }) => (leavingForMs ?? 0) > LEAVING_LIMIT_MS && !isNearFault(atMs),
    ),
    budgetOverruns: countBudgetOverruns(observations),
  };
}
