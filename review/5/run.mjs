// A few answers of targets are no answers of the protocol: their status line names the status 000.
import * as cases from '../lib/case.mjs';
import * as load from '../lib/load.mjs';

/** Share of the answers of a faulty target that are spoilt; the pages' dose of `garble`. */
const SPOILT_EVERY = 50;

const PLAY_MS = 40_000;
const WORK_MS = 100;
const TIMEOUT_MS = 700;
const LATE_MS = 500;

const KINDS = [
  {
    ...{ service: 'status', host: 's.example', prefix: '/s/', method: 'GET', kind: 'idempotent' },
    ...{ aim: '400ms', timeout: `${TIMEOUT_MS}ms`, deadlineMs: 2_500 },
  },
  {
    ...{
      service: 'filing',
      host: 'f.example',
      prefix: '/f/',
      method: 'POST',
      kind: 'non_idempotent',
    },
    ...{ aim: '500ms', timeout: `${TIMEOUT_MS}ms`, deadlineMs: 2_500, body: 'x'.repeat(1_200) },
  },
];

await cases.run(import.meta.url, async (current) => {
  await current.openStore(KINDS.map((kind) => ({ ...kind, name: `r-${kind.service}` })));
  let answers = 0;
  let spoilt = 0;
  const spoilSome = (run, request, response, target) => {
    answers += 1;
    if (!cases.hasTrouble || answers % SPOILT_EVERY !== 0) return;
    spoilt += 1;
    run.isTaken = true;
    current.note('spoilt answer', { id: run.id, target: run.target });
    setTimeout(() => {
      request.socket.write(
        `HTTP/1.1 000 \r\nRequest-Id: ${run.id}\r\nResponse-Signature: sig-${run.id}\r\nContent-Length: 2\r\n\r\nok`,
      );
      target.running -= 1;
      target.next();
    }, WORK_MS);
  };
  for (const { service } of KINDS) {
    for (let index = 0; index < 4; index += 1) {
      const isFaulty = service === 'status' && index < 2;
      await current.addTarget({
        ...{ id: `i-${service}-${index}`, service, zone: `zone-${(index % 3) + 1}` },
        ...{ workMs: WORK_MS, onRun: isFaulty ? spoilSome : undefined },
      });
    }
  }
  await current.startFleet(3);
  const attempts = await load.runClients(current, {
    ...{ kinds: KINDS, clientsPerKind: 4, endMs: performance.now() + PLAY_MS },
  });
  // CONFIG: those that last longer than the timeout of their route, and those of them that have no
  // final answer half a second after it.
  const tookMs = ({ sentAtMs, endedAtMs }) => endedAtMs - sentAtMs;
  const late = attempts.filter((attempt) => tookMs(attempt) >= TIMEOUT_MS);
  const unanswered = late.filter((attempt) => tookMs(attempt) >= TIMEOUT_MS + LATE_MS);
  return {
    isBroken: unanswered.length >= 8 && unanswered.length > late.length / 4,
    summary: {
      ...{
        spoiltAnswers: spoilt,
        ofAnswers: answers,
        late: late.length,
        unanswered: unanswered.length,
      },
      unansweredByKind: load.countBy(unanswered, ({ kind }) => kind.service),
      // What the daemons themselves log about the time for which they stood still.
      pausesMs: current.fleet.map(({ lines }) =>
        lines
          .filter((line) => line.includes('process.paused'))
          .map((line) => JSON.parse(line).gapMs),
      ),
      ends: load.countBy(attempts, ({ status, error }) => status ?? error),
    },
  };
});
