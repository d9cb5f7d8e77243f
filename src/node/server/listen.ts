import type * as http from 'node:http';
import type * as net from 'node:net';

/** Called with an error of a server that listens, such as a connection that cannot be accepted. */
export type ErrorListener = (error: Error) => void;

/**
 * Starts listening. Rejects if the address cannot be used, and may be called again after that.
 * @param onError Called for errors from then on. The server keeps listening.
 */
export function listen(
  server: net.Server,
  host: string,
  port: number,
  onError: ErrorListener,
): Promise<void> {
  return new Promise((resolve, reject) => {
    const end = (error?: Error) => {
      server.removeListener('listening', end);
      server.removeListener('error', end);
      if (error === undefined) {
        server.on('error', onError);
        resolve();
      } else reject(error);
    };
    server.once('listening', end);
    server.once('error', end);
    server.listen(port, host);
  });
}

/** Stops listening and closes all connections immediately. */
export function closeNow(server: http.Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
