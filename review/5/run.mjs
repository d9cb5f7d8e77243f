// A request that crashes the targets that run it comes again, also more than a minute later.
import * as cases from '../lib/case.mjs';
import * as clients from '../lib/client.mjs';
import * as daemons from '../lib/daemons.mjs';
import * as load from '../lib/load.mjs';

const WORK_MS = 160;

/** Time after which a crashed target is back, in milliseconds. */
const BACK_AFTER_MS = 3_000;

/** Interval at which the caller sends the crashing request, in milliseconds. */
const AGAIN_MS = 2_000;

/** `retry_abuse`: the client repeats a request three more times, at once. */
const REPEATS = 3;

const PLAY_MS = 75_000;

const CRASHING_PATH = '/s/crashing';

const READ = {
  ...{ service: 'desk', host: 's.example', prefix: '/s/', method: 'GET', kind: 'idempotent' },
  ...{ aim: '400ms', timeout: '1200ms', deadlineMs: 1_200 },
};
const LODGEMENT = {
  ...{ service: 'desk', host: 'f.example', prefix: '/f/', method: 'POST', kind: 'non_idempotent' },
  ...{ aim: '500ms', timeout: '1500ms', deadlineMs: 1_500, body: 'x'.repeat(1_200) },
};

await cases.run(import.meta.url, async (current) => {
  await current.openStore([
    { ...READ, name: 'r-read' },
    { ...LODGEMENT, name: 'r-lodgement' },
  ]);
  const crashes = [];
  const crash = (run, request, response, target) => {
    if (run.path !== CRASHING_PATH) return;
    run.isTaken = true;
    const others = target.running - 1;
    crashes.push({ atMs: performance.now(), others });
    current.note('crash', { id: run.id, target: target.id, others });
    target.close();
    setTimeout(async () => {
      await target.restart();
      current.store.put(`servers/${target.id}`, target.entry);
    }, BACK_AFTER_MS);
  };
  for (let index = 0; index < 10; index += 1) {
    await current.addTarget({
      ...{ id: `i-${index}`, service: 'desk', zone: `zone-${(index % 3) + 1}` },
      ...{ workMs: WORK_MS, onRun: crash },
    });
  }
  await current.startFleet(3);
  const endMs = performance.now() + PLAY_MS;
  const statuses = {};
  const sendCrashing = async (copy) => {
    const daemon = current.fleet[copy % current.fleet.length];
    const id = clients.newId();
    current.note('sent', { id, path: CRASHING_PATH, to: daemon.options.name });
    const { host, deadlineMs } = READ;
    const port = daemon.options.front;
    const result = await clients.attempt({ port, id, path: CRASHING_PATH, host, deadlineMs });
    current.note('ended', { id, status: result.status, error: result.error });
    const end = result.status ?? result.error;
    statuses[end] = (statuses[end] ?? 0) + 1;
  };
  const comeAgain = async () => {
    while (cases.hasTrouble && performance.now() < endMs) {
      await Promise.all(Array.from({ length: 1 + REPEATS }, (_, copy) => sendCrashing(copy)));
      await daemons.pause(AGAIN_MS);
    }
  };
  const [attempts] = await Promise.all([
    load.runClients(current, { kinds: [READ, LODGEMENT], clientsPerKind: 2, endMs }),
    comeAgain(),
  ]);
  const thirdMs = crashes[2]?.atMs ?? Number.POSITIVE_INFINITY;
  const late = crashes.filter(({ atMs }) => atMs > thirdMs + cases.STABLE_MS);
  const secondsOf = ({ atMs }) => Math.round((atMs - crashes[0].atMs) / 100) / 10;
  return {
    // BUDGET: in more than three retries, later than `stable` after it has crashed the third.
    isBroken: late.length > 3,
    summary: {
      ...{ crashesAtSeconds: crashes.map(secondsOf), late: late.length },
      otherRunsOnCrashed: crashes.reduce((sum, { others }) => sum + others, 0),
      crashingEnds: statuses,
      otherEnds: load.countBy(attempts, ({ status, error }) => status ?? error),
    },
  };
});
