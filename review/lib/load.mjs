// Load of a small deployment: clients that keep their connections, and what became of their requests.
import * as cases from './case.mjs';
import * as clients from './client.mjs';
import * as daemons from './daemons.mjs';

/** Delay of a client after an attempt that did not succeed, in milliseconds. */
const RETURN_MS = 100;

/** Runs clients on kept connections until `endMs`. Returns all attempts. */
export async function runClients(current, { kinds, clientsPerKind, endMs }) {
  const attempts = [];
  const runClient = async (daemon, kind) => {
    let agent = clients.keptConnection();
    while (performance.now() < endMs) {
      const id = clients.newId();
      const processStartedAtMs = daemon.startedAtMs;
      current.note('sent', { id, kind: kind.service, to: daemon.options.name });
      const result = await clients.attempt({
        port: daemon.options.front,
        agent,
        id,
        host: kind.host,
        method: kind.method,
        path: `${kind.prefix}${id}`,
        body: kind.body,
        deadlineMs: kind.deadlineMs,
      });
      const { status, isComplete, error, signature } = result;
      const tookMs = Math.round(result.endedAtMs - result.sentAtMs);
      current.note('ended', { id, status, isComplete, error, tookMs });
      attempts.push({
        ...result,
        signature,
        body: undefined,
        headers: undefined,
        daemon,
        kind,
        processStartedAtMs,
      });
      if (status === 200 && isComplete) continue;
      if (status === undefined) {
        agent.destroy();
        agent = clients.keptConnection();
      }
      await daemons.pause(RETURN_MS);
    }
    agent.destroy();
  };
  const running = current.fleet.flatMap((daemon) =>
    kinds.flatMap((kind) => Array.from({ length: clientsPerKind }, () => runClient(daemon, kind))),
  );
  await Promise.all(running);
  return attempts;
}

/**
 * Attempts that break LOST ("at any time"): passed on to a sound target, on a kept connection, by a
 * machine in touch, which closed the connection without an answer.
 */
export function lostAttempts(current, attempts, isSound) {
  const runs = new Map();
  current.targets.forEach((target) =>
    target.runs.filter(() => isSound(target)).forEach((run) => runs.set(run.id, run)),
  );
  return attempts.filter(({ id, status, error, sentAtMs, processStartedAtMs }) => {
    const wasClosed = status === undefined && error !== undefined && error !== 'deadline';
    const isInTouch = sentAtMs - processStartedAtMs >= cases.STABLE_MS;
    return wasClosed && isInTouch && runs.has(id);
  });
}

/** Counts by a key. */
export function countBy(list, keyOf) {
  const counts = {};
  list.forEach((each) => {
    const key = keyOf(each);
    counts[key] = (counts[key] ?? 0) + 1;
  });
  return counts;
}
