// Client of the pages: keeps a connection open for one request after the other.
import * as http from 'node:http';
import * as crypto from 'node:crypto';

export function newId() {
  return crypto.randomBytes(8).toString('hex');
}

/**
 * Sends one client attempt. Resolves with its end: `status` (undefined if the connection ended
 * first), `signed`, `body`, `isComplete`, `connected`, `sent`, `reused`.
 */
export function attempt({
  port,
  agent,
  method = 'GET',
  path,
  host,
  id = newId(),
  deadlineMs,
  body,
  chunked,
  timeoutMs,
}) {
  return new Promise((resolve) => {
    const end = {
      id,
      sentAtMs: performance.now(),
      status: undefined,
      isComplete: false,
      connected: false,
      reused: false,
    };
    let isDone = false;
    const finish = (fields) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      resolve({ ...end, ...fields, endedAtMs: performance.now() });
    };
    const request = http.request({
      host: '127.0.0.1',
      port,
      agent: agent ?? false,
      method,
      path,
      headers: {
        host,
        'request-id': id,
        'request-deadline': `${deadlineMs}`,
        ...(body === undefined || chunked ? {} : { 'content-length': Buffer.byteLength(body) }),
      },
    });
    // The client leaves at its deadline.
    const timer = setTimeout(() => {
      finish({ error: 'deadline' });
      request.destroy();
    }, timeoutMs ?? deadlineMs);
    request.once('socket', (socket) => {
      end.reused = request.reusedSocket;
      if (socket.connecting)
        socket.once('connect', () => {
          end.connected = true;
        });
      else end.connected = true;
    });
    request.once('finish', () => {
      end.writtenAtMs = performance.now();
    });
    request.once('response', (response) => {
      end.status = response.statusCode;
      end.headers = response.headers;
      end.signature = response.headers['response-signature'];
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.once('end', () =>
        finish({ isComplete: response.complete, body: Buffer.concat(chunks) }),
      );
      response.once('error', (error) => finish({ error: error.code ?? error.message }));
      response.once('close', () => finish({ isComplete: response.complete }));
    });
    request.once('error', (error) => finish({ error: error.code ?? error.message }));
    if (body !== undefined) request.write(body);
    request.end();
  });
}

/** Agent of one client: one kept connection. */
export function keptConnection() {
  return new http.Agent({ keepAlive: true, maxSockets: 1 });
}
