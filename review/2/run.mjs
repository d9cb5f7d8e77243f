// Two targets send, in place of a few of their answers, a body in small chunks without end.
import * as cases from '../lib/case.mjs';
import * as load from '../lib/load.mjs';

/** Targets that spoil one in `SPOILT_EVERY` of their answers; the pages' dose of `garble`. */
const FAULTY = new Set(['i-vault-0', 'i-vault-1']);
const SPOILT_EVERY = 50;

const PLAY_MS = 60_000;
const WORK_MS = 100;

/** Chunks of one byte. */
const CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(16_384));

const KINDS = [
  {
    service: 'status',
    host: 's.example',
    prefix: '/s/',
    method: 'GET',
    kind: 'idempotent',
    aim: '400ms',
    timeout: '1200ms',
    deadlineMs: 1_200,
  },
  {
    service: 'filing',
    host: 'f.example',
    prefix: '/f/',
    method: 'POST',
    kind: 'non_idempotent',
    aim: '500ms',
    timeout: '1500ms',
    deadlineMs: 1_500,
    body: 'x'.repeat(1_200),
  },
  {
    service: 'vault',
    host: 'v.example',
    prefix: '/v/',
    method: 'GET',
    kind: 'idempotent',
    aim: '1000ms',
    timeout: '3000ms',
    deadlineMs: 3_000,
  },
];

/** Answers with bytes until the caller closes. */
function answerWithoutEnd(current, run, request, target) {
  run.isTaken = true;
  const { socket } = request;
  current.note('spoilt answer', { id: run.id, target: run.target });
  socket.write(
    `HTTP/1.1 200 OK\r\nRequest-Id: ${run.id}\r\nResponse-Signature: sig-${run.id}\r\nTransfer-Encoding: chunked\r\n\r\n`,
  );
  const writeMore = () => {
    while (!socket.destroyed && socket.write(CHUNKS));
  };
  socket.on('drain', writeMore);
  socket.once('close', () => {
    target.running -= 1;
    target.next();
  });
  writeMore();
}

await cases.run(import.meta.url, async (current) => {
  await current.openStore(KINDS.map((kind) => ({ ...kind, name: `r-${kind.service}` })));
  let answers = 0;
  let spoilt = 0;
  const spoilSome = (run, request, response, target) => {
    answers += 1;
    if (!cases.hasTrouble || answers % SPOILT_EVERY !== 0) return;
    spoilt += 1;
    answerWithoutEnd(current, run, request, target);
  };
  for (const { service } of KINDS) {
    for (let index = 0; index < 4; index += 1) {
      const id = `i-${service}-${index}`;
      await current.addTarget({
        id,
        service,
        zone: `zone-${(index % 3) + 1}`,
        workMs: WORK_MS,
        onRun: FAULTY.has(id) ? spoilSome : undefined,
      });
    }
  }
  const isSound = ({ id }) => !FAULTY.has(id);
  await current.startFleet(3);
  const attempts = await load.runClients(current, {
    kinds: KINDS,
    clientsPerKind: 4,
    endMs: performance.now() + PLAY_MS,
  });
  const lost = load.lostAttempts(current, attempts, isSound);
  const ends = current.fleet.flatMap(({ options, ends: list }) =>
    list
      .filter(({ isExpected }) => !isExpected)
      .map(({ signal, code }) => `${options.name} ${signal ?? code}`),
  );
  return {
    // LOST: more than three times.
    isBroken: lost.length > 3,
    summary: {
      spoiltAnswers: spoilt,
      ofAnswers: answers,
      processEnds: ends,
      lost: lost.length,
      lostByKind: load.countBy(lost, ({ kind }) => kind.service),
      ends: load.countBy(attempts, ({ status, error }) => status ?? error),
    },
  };
});
