// A daemon freezes and wakes again while clients that had just connected send their orders.
import * as net from 'node:net';
import * as workerThreads from 'node:worker_threads';

import * as cases from '../lib/case.mjs';
import * as clients from '../lib/client.mjs';
import * as daemons from '../lib/daemons.mjs';
import * as links from '../lib/link.mjs';

/** `node_freeze`: the longest one of the site. */
const FREEZE_MS = 3_500;

/** Time from the connect of a client to the freeze, and to its request, in milliseconds. */
const CONNECT_BEFORE_MS = 300;
const SEND_AFTER_MS = 2_600;

/** `gang-assign`: the deadline of a client, and the work of a target. */
const DEADLINE_MS = 1_500;
const WORK_MS = 78;

/** Delay between clients and the machines, one way. */
const ONE_WAY_MS = 8;

const CLIENTS = 2;
const ROUNDS = 8;
const ROUND_MS = 8_500;
const WARM_UP_MS = 6_000;

/** Statuses that promise that the request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503]);

const ROUTE = { host: 'f.example', kind: 'non_idempotent', prefix: '/f/', service: 'dispatcher' };

/** A client that is connected before it has a request to send. */
class EarlyClient {
  constructor(port) {
    this.socket = net.connect({ port, host: '127.0.0.1', noDelay: true });
    this.socket.on('error', () => undefined);
    this.connected = new Promise((resolve) => {
      this.socket.once('connect', resolve);
    });
  }

  /** Sends an order, and closes the connection once it is answered, as the answer says. */
  send(id, order) {
    const { socket } = this;
    return new Promise((resolve) => {
      let received = '';
      const end = (error) => {
        socket.destroy();
        const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(received)?.[1] ?? 0);
        resolve({ id, order, status, error });
      };
      const timer = setTimeout(() => end('deadline'), DEADLINE_MS);
      socket.on('data', (bytes) => {
        received += bytes.toString('latin1');
        const head = received.indexOf('\r\n\r\n');
        const length = Number(/content-length: (\d+)/i.exec(received)?.[1] ?? 0);
        if (head < 0 || received.length < head + 4 + length) return;
        clearTimeout(timer);
        end();
      });
      const lines = [
        `POST /f/${order} HTTP/1.1`,
        `Host: ${ROUTE.host}`,
        `Request-Id: ${id}`,
        `Request-Deadline: ${DEADLINE_MS}`,
        `Content-Length: ${order.length}`,
      ];
      socket.write(`${lines.join('\r\n')}\r\n\r\n${order}`);
    });
  }
}

/** Starts the targets, and collects the runs of each request. */
async function startTargets(current) {
  const runs = [];
  const workerData = { count: 7, service: ROUTE.service, workMs: WORK_MS };
  const worker = new workerThreads.Worker(new URL('./targets.mjs', import.meta.url), {
    workerData,
  });
  await new Promise((resolve) => {
    worker.on('message', (message) => {
      if (message.kind === 'entry') current.store.put(`servers/${message.id}`, message.entry);
      if (message.kind === 'listening') resolve();
      if (message.kind !== 'run') return;
      current.note('run', message);
      runs.push(message);
    });
  });
  return runs;
}

await cases.run(import.meta.url, async (current) => {
  await current.openStore([
    { ...ROUTE, name: 'r-assign', aim: '250ms', timeout: `${DEADLINE_MS}ms` },
  ]);
  const runs = await startTargets(current);
  await current.startFleet(3);
  const [daemon, ...others] = current.fleet;
  const link = await links.openLink(daemon.options.front, ONE_WAY_MS);
  const assign = (port, id, order) =>
    clients.attempt({
      ...{ port, id, method: 'POST', path: `/f/${order}`, host: ROUTE.host, body: order },
      deadlineMs: DEADLINE_MS,
    });
  // The usual load, at the frozen daemon only before the first freeze.
  let isPlaying = true;
  const load = async (port, endMs) => {
    while (isPlaying && performance.now() < endMs) {
      await assign(port, clients.newId(), clients.newId());
      await daemons.pause(20);
    }
  };
  const running = others.flatMap(({ options }) =>
    [1, 2, 3].map(() => load(options.front, Number.POSITIVE_INFINITY)),
  );
  await Promise.all(
    [1, 2, 3, 4].map(() => load(daemon.options.front, performance.now() + WARM_UP_MS)),
  );
  const results = [];
  const playClient = async () => {
    const client = new EarlyClient(link.port);
    await client.connected;
    await daemons.pause(SEND_AFTER_MS);
    const [id, order] = [clients.newId(), clients.newId()];
    current.note('sent', { id, order });
    const result = await client.send(id, order);
    current.note('ended', result);
    results.push(result);
    if (!PROMISES.has(result.status)) return;
    // The order was refused as not run, so the client sends it once more, to another machine.
    const again = clients.newId();
    current.note('sent', { id: again, order });
    const { status } = await assign(others[0].options.front, again, order);
    current.note('ended', { id: again, order, status });
  };
  for (let round = 0; round < ROUNDS; round += 1) {
    const startMs = performance.now();
    const playing = Promise.all(Array.from({ length: CLIENTS }, () => playClient()));
    await daemons.pause(CONNECT_BEFORE_MS);
    if (cases.hasTrouble) {
      current.note('freeze', { daemon: daemon.options.name });
      daemon.signal('SIGSTOP');
      await daemons.pause(FREEZE_MS);
      daemon.signal('SIGCONT');
      current.note('wake');
    }
    await playing;
    await daemons.pause(ROUND_MS - (performance.now() - startMs));
  }
  isPlaying = false;
  await Promise.all(running);
  link.close();
  const ran = new Set(runs.map(({ id }) => id));
  const broken = results.filter(({ id, status }) => PROMISES.has(status) && ran.has(id));
  const twice = results.filter(
    ({ order }) => runs.filter(({ path }) => path === `/f/${order}`).length > 1,
  );
  const ends = {};
  results.forEach(({ status, error }) => {
    ends[error ?? status] = (ends[error ?? status] ?? 0) + 1;
  });
  return {
    // REFUSED: answered 408 and has run.
    isBroken: broken.length > 0,
    summary: {
      refusedAndRun: broken.length,
      ordersRunTwice: twice.length,
      of: results.length,
      ends,
    },
  };
});
