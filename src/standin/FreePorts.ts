import * as crypto from 'node:crypto';
import * as net from 'node:net';

/**
 * Range of the ports. It lies below the one from which operating systems give out ports, so that no
 * connection or listener of another process takes a port before it is used.
 */
const MIN_PORT = 10_240;
const MAX_PORT = 32_000;

function listen(port: number): Promise<net.Server | undefined> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(undefined));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

async function listenOnFreePort(): Promise<net.Server> {
  const server = await listen(crypto.randomInt(MIN_PORT, MAX_PORT));
  return server ?? listenOnFreePort();
}

/** Returns `count` TCP ports that are currently free on the loopback address. */
export async function freePorts(count: number): Promise<readonly number[]> {
  const servers = await Promise.all(Array.from({ length: count }, listenOnFreePort));
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise<void>((resolve) => {
          server.close(() => resolve());
        }),
    ),
  );
  return ports;
}
