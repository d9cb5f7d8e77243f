import * as net from 'node:net';

/** Returns `count` TCP ports that are currently free on the loopback address. */
export async function freePorts(count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => net.createServer());
  const ports = await Promise.all(
    servers.map(
      (server) =>
        new Promise<number>((resolve, reject) => {
          server.once('error', reject);
          server.listen(0, '127.0.0.1', () => resolve((server.address() as net.AddressInfo).port));
        }),
    ),
  );
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
