import * as nodeEvents from 'node:events';
import * as net from 'node:net';

import * as bunyan from 'bunyan';
import * as undici from 'undici';

import * as manualClock from '../common/ManualClock';
import * as seededRandom from '../common/SeededRandom';
import * as daemonModule from './Daemon';
import * as settings from './settings/Settings';

const LAG_MS = 5_000;

async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => net.createServer().listen(0, '127.0.0.1'));
  await Promise.all(servers.map((server) => nodeEvents.once(server, 'listening')));
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port);
  await Promise.all(servers.map((server) => nodeEvents.once(server.close(), 'close')));
  return ports;
}

function build([caller, operator, peer, platform]: number[]) {
  const parsed = settings.parseSettings(
    [
      `callerAddress: 127.0.0.1:${caller}`,
      `operatorAddress: 127.0.0.1:${operator}`,
      `peerAddress: 127.0.0.1:${peer}`,
      `platformUrl: http://127.0.0.1:${platform}`,
      'failureDomain: a',
      `platformBalancerLagMs: ${LAG_MS}`,
    ].join('\n'),
  );
  if (!parsed.ok) throw new Error(JSON.stringify(parsed.error));
  const logger = bunyan.createLogger({ name: 'test', streams: [] });
  const clock = new manualClock.ManualClock();
  const random = new seededRandom.SeededRandom(1);
  return { clock, daemon: new daemonModule.Daemon(parsed.value, logger, clock, random) };
}

/** Advances the clock until `promise` resolves. */
async function advanceUntilSettled(
  clock: manualClock.ManualClock,
  promise: Promise<void>,
): Promise<void> {
  let pending = true;
  const done = promise.finally(() => {
    pending = false;
  });
  while (pending) {
    await new Promise(setImmediate);
    clock.advance(100);
  }
  await done;
}

// Guards against a daemon that fails to start and keeps its ports open.
test('start rejects with the name of an address in use and releases all ports', async () => {
  const ports = await findFreePorts(4);
  const blocker = net.createServer().listen(ports[0], '127.0.0.1');
  await nodeEvents.once(blocker, 'listening');
  const { clock, daemon } = build(ports);
  await expect(advanceUntilSettled(clock, daemon.start())).rejects.toThrow(
    new RegExp(`^cannot listen on callerAddress 127.0.0.1:${ports[0]}: .*EADDRINUSE`),
  );
  await nodeEvents.once(blocker.close(), 'close');
  const second = build(ports);
  await second.daemon.start();
  await advanceUntilSettled(second.clock, second.daemon.stop());
});

// Guards against a daemon that ends because another process has its port for a moment.
test('start waits for an address in use', async () => {
  const ports = await findFreePorts(4);
  const blockers = [0, 1, 2].map((index) => net.createServer().listen(ports[index], '127.0.0.1'));
  await Promise.all(blockers.map((blocker) => nodeEvents.once(blocker, 'listening')));
  const { clock, daemon } = build(ports);
  const started = advanceUntilSettled(clock, daemon.start());
  blockers.forEach((blocker) => blocker.close());
  await started;
  await advanceUntilSettled(clock, daemon.stop());
});

test('a daemon that is stopped while it waits for an address listens nowhere', async () => {
  const ports = await findFreePorts(4);
  const blocker = net.createServer().listen(ports[0], '127.0.0.1');
  await nodeEvents.once(blocker, 'listening');
  const { clock, daemon } = build(ports);
  const started = daemon.start();
  await advanceUntilSettled(clock, daemon.stop());
  await nodeEvents.once(blocker.close(), 'close');
  await advanceUntilSettled(clock, started);
  const next = net.createServer().listen(ports[0], '127.0.0.1');
  await nodeEvents.once(next, 'listening');
  await nodeEvents.once(next.close(), 'close');
});

test('a daemon without a table is unready and refuses calls with a reason', async () => {
  const ports = await findFreePorts(4);
  const { clock, daemon } = build(ports);
  await daemon.start();
  const ready = await undici.request(`http://127.0.0.1:${ports[1]}/ready`);
  expect(ready.statusCode).toBe(503);
  expect(await ready.body.json()).toMatchObject({ ready: false, phase: 'starting' });
  const reply = await undici.request(`http://127.0.0.1:${ports[0]}/status/a`);
  expect(await reply.body.json()).toMatchObject({ kind: 'not-ready', outcome: 'not-run' });
  await advanceUntilSettled(clock, daemon.stop());
});

test('a graceful shutdown serves for the lag of the platform balancer, and runs once', async () => {
  const { clock, daemon } = build(await findFreePorts(4));
  await daemon.start();
  const stopped = daemon.stop();
  expect(daemon.stop()).toBe(stopped);
  clock.advance(LAG_MS - 1);
  await new Promise(setImmediate);
  expect(daemon.phase).toBe('draining');
  clock.advance(1);
  await new Promise(setImmediate);
  expect(daemon.phase).toBe('stopping');
  await advanceUntilSettled(clock, stopped);
});
