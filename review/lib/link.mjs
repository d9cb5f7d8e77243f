// A link with a delay between clients and a daemon: a proxy that passes on bytes and the end of each
// direction later.
import * as net from 'node:net';

/** Listens on a free port. Returns the port, and a function that closes the link. */
export async function openLink(daemonPort, oneWayMs) {
  const sockets = new Set();
  const join = (from, to) => {
    sockets.add(from);
    from.on('error', () => undefined);
    from.on('data', (chunk) => setTimeout(() => to.writable && to.write(chunk), oneWayMs));
    from.once('end', () => setTimeout(() => to.end(), oneWayMs));
    from.once('close', (hadError) => {
      sockets.delete(from);
      if (hadError) setTimeout(() => to.destroy(), oneWayMs);
    });
  };
  const server = net.createServer({ allowHalfOpen: true, noDelay: true }, (client) => {
    const options = { port: daemonPort, host: '127.0.0.1', allowHalfOpen: true, noDelay: true };
    const daemon = net.connect(options);
    join(client, daemon);
    join(daemon, client);
  });
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  const close = () => {
    server.close();
    sockets.forEach((socket) => socket.destroy());
  };
  return { port: server.address().port, close };
}
