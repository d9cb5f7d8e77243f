import * as http from 'node:http';
import type * as net from 'node:net';

const ANSWER = Buffer.from(JSON.stringify({ state: 'sealed', text: 'x'.repeat(400) }));

/**
 * Starts a backend server of the overhead bench and returns its port. It answers at once, so that
 * the proxy dominates latency.
 */
export function startEchoServer(): Promise<number> {
  const server = http.createServer((request, response) => {
    request.resume();
    request.once('end', () => {
      response.writeHead(200, {
        'content-type': 'application/json',
        'content-length': ANSWER.length,
        'endpoint-load-metrics': 'TEXT named_metrics.in_flight=0, named_metrics.queued=0',
      });
      response.end(ANSWER);
    });
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => resolve((server.address() as net.AddressInfo).port));
  });
}
