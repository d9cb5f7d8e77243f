import * as undici from 'undici';

import * as manualClock from '../common/ManualClock';
import * as seededRandom from '../common/SeededRandom';
import * as answers from './Answers';
import * as backendServer from './BackendServer';
import type * as standinTypes from './Types';

const SERVICE_MS = 10;

async function open(options: Partial<standinTypes.IBackendOptions> = {}) {
  const clock = new manualClock.ManualClock(1_000_000);
  const random = new seededRandom.SeededRandom(1);
  const settings = { slots: 1, serviceMs: SERVICE_MS, ...options };
  const server = new backendServer.BackendServer(settings, { clock, random });
  const port = await server.listen();
  const send = (identity: string, headers: Record<string, string> = {}, signal?: AbortSignal) =>
    undici.fetch(`http://127.0.0.1:${port}/documents`, {
      method: 'POST',
      headers: { [backendServer.IDENTITY_HEADER]: identity, ...headers },
      body: 'content',
      ...(signal === undefined ? {} : { signal }),
    });
  const started = () =>
    new Promise<void>((resolve) => {
      const registration = server.onRun(() => {
        registration.dispose();
        resolve();
      });
    });
  return { clock, server, port, send, started };
}

test('answers carry identity, checksum and load report', async () => {
  const { clock, server, send, started } = await open();
  const running = started();
  const reply = send('a');
  await running;
  clock.advance(2 * SERVICE_MS);
  const answer = await reply;
  expect(answers.isAnswerTo(await answer.text(), 'a', Buffer.from('content'))).toBe(true);
  expect(answer.headers.get('endpoint-load-metrics')).toContain('named_metrics.in_flight=0');
  expect(server.record.runs.map((run) => run.identity)).toEqual(['a']);
  await server.close();
});

test('a full queue sheds requests with the not-run marker and records no run', async () => {
  const { server, send } = await open({ queueLimit: 0 });
  const shed = await send('first');
  expect(shed.status).toBe(503);
  expect(shed.headers.get('request-outcome')).toBe('not-run');
  expect(server.record).toMatchObject({ runs: [], refused: 1 });
  await server.close();
});

test('a request past its deadline is not started', async () => {
  const { server, send } = await open();
  const late = await send('late', { 'request-deadline': '999999' });
  expect(late.headers.get('request-outcome')).toBe('not-run');
  expect(server.record.runs).toEqual([]);
  await server.close();
});

test('closing the connection frees the slot for the next request', async () => {
  const { clock, server, send, started } = await open();
  const cancel = new AbortController();
  const first = started();
  const aborted = send('cancelled', {}, cancel.signal);
  await first;
  const second = started();
  const reply = send('next');
  cancel.abort();
  await expect(aborted).rejects.toThrow();
  await second;
  clock.advance(2 * SERVICE_MS);
  expect((await reply).status).toBe(200);
  expect(server.record.cancelled).toBe(1);
  await server.close();
});

test('a truncated answer breaks its connection before the stated length', async () => {
  const { clock, server, send, started } = await open();
  server.setFaults({ answer: 'truncated' });
  const running = started();
  const reply = send('a');
  await running;
  clock.advance(2 * SERVICE_MS);
  await expect(reply.then((answer) => answer.text())).rejects.toThrow();
  await server.close();
});

test('draining is reported on answers and probes, and runs record the time since it began', async () => {
  const { clock, server, port, send, started } = await open();
  server.setDraining(true);
  clock.advance(1_234);
  const running = started();
  const reply = send('a');
  await running;
  clock.advance(2 * SERVICE_MS);
  expect((await reply).headers.get('backend-state')).toBe('draining');
  const load = (await (await undici.fetch(`http://127.0.0.1:${port}/load`)).json()) as object;
  expect(load).toMatchObject({ state: 'draining' });
  expect(server.record.runs[0]?.drainingForMs).toBe(1_234);
  expect(server.record.probesMs).toHaveLength(1);
  await server.close();
});

test('a request with the crash header crashes the server and its run stays recorded', async () => {
  const { server, send } = await open();
  await expect(send('fatal', { [backendServer.CRASH_HEADER]: 'yes' })).rejects.toThrow();
  expect(server.record.runs.map((run) => run.identity)).toEqual(['fatal']);
});
