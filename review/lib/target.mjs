// Stand-in for a target of the pages (PROTOCOL.md, "Targets"): slots, a short queue, health checks,
// load headers, signatures, and refusals of requests for another instance.
import * as http from 'node:http';

const HEALTH_PATH = '/healthz';
const QUEUE = 6;

export class Target {
  /** @param options id, service, zone, slots, workMs, onRun(id, request, body), answerOf(id) */
  constructor(options) {
    this.options = { slots: 3, zone: 'zone-1', workMs: 50, ...options };
    this.bornMs = Date.now();
    this.running = 0;
    this.queue = [];
    this.state = 'ready';
    this.runs = [];
    this.arrivals = [];
    this.sockets = new Set();
  }

  get id() {
    return this.options.id;
  }

  async listen(port = 0) {
    this.server = http.createServer((request, response) => this.serve(request, response));
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => this.sockets.delete(socket));
    });
    this.server.keepAliveTimeout = 10_000;
    await new Promise((resolve) => this.server.listen(port, '127.0.0.1', resolve));
    this.port = this.server.address().port;
  }

  get address() {
    return `127.0.0.1:${this.port}`;
  }

  get entry() {
    const { service, zone, slots } = this.options;
    return {
      service,
      address: this.address,
      zone,
      configVersion: 'v1',
      slots,
      state: this.state,
      warmupLeft: '0ms',
      born: this.bornMs,
      seq: 1,
    };
  }

  close() {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  /** Starts again after a crash, under the same address and id, with nothing of before. */
  restart() {
    this.bornMs = Date.now();
    this.running = 0;
    this.queue = [];
    return this.listen(this.port);
  }

  load() {
    const headers = {
      'Server-Load': `${this.running},${this.queue.length},${this.options.slots},100`,
    };
    if (this.state !== 'ready') headers['Server-Leaving'] = '1';
    return headers;
  }

  serve(request, response) {
    response.on('error', () => undefined);
    if (request.url === HEALTH_PATH) {
      request.resume();
      response.writeHead(this.state === 'ready' ? 200 : 503, {
        'Instance-Id': this.id,
        'content-length': 0,
        ...this.load(),
      });
      response.end();
      return;
    }
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.once('end', () => this.arrive(request, response, Buffer.concat(chunks)));
    request.once('error', () => undefined);
  }

  arrive(request, response, body) {
    const id = request.headers['request-id'];
    const expected = request.headers['expected-instance'];
    this.arrivals.push({ id, atMs: performance.now(), expected });
    const refuse = (status, fields) => {
      response.writeHead(status, {
        'Request-Id': id ?? '',
        'content-length': 0,
        ...fields,
        ...this.load(),
      });
      response.end();
    };
    if (id === undefined) refuse(400, { 'Not-Executed': '1' });
    else if (expected !== undefined && expected !== this.id)
      refuse(421, { 'Instance-Id': this.id });
    else if (this.running < this.options.slots) this.run(request, response, id, body);
    else if (this.queue.length < QUEUE)
      this.queue.push(() => this.run(request, response, id, body));
    else refuse(503, { 'Not-Executed': '1' });
  }

  run(request, response, id, body) {
    if (response.destroyed) {
      this.next();
      return;
    }
    this.running += 1;
    const run = {
      id,
      startMs: performance.now(),
      path: request.url,
      method: request.method,
      bodyBytes: body.length,
      target: this.id,
      isDone: false,
    };
    this.runs.push(run);
    this.options.onRun?.(run, request, response, this);
    if (run.isTaken === true) return;
    let ended = false;
    const end = () => {
      if (ended) return;
      ended = true;
      this.running -= 1;
      this.next();
    };
    const timer = setTimeout(() => {
      run.isDone = true;
      const content = this.options.answerOf?.(id) ?? `answer to ${id} by ${this.id}`;
      response.writeHead(200, {
        'Request-Id': id,
        'Response-Signature': `sig-${id}`,
        'content-length': Buffer.byteLength(content),
        ...this.load(),
      });
      response.end(content);
      end();
    }, this.options.workMs);
    // Most targets drop a request when its connection closes.
    response.once('close', () => {
      clearTimeout(timer);
      end();
    });
  }

  next() {
    while (this.queue.length > 0 && this.running < this.options.slots) this.queue.shift()();
  }
}

/** Configuration in the operator's form, with the limits of the pages' example. */
export function configuration(version, services, routes) {
  return {
    configVersion: version.toString(16).padStart(8, '0'),
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 67108864,
      headerTimeout: '3000ms',
      idleTimeout: '15000ms',
    },
    listeners: routes.map(
      ({ host, name, kind, aim, prefix, service, timeout, maxAttempts = 2, priority = 1 }) => ({
        host,
        policy: [
          {
            name,
            kind,
            aim,
            priority,
            match: { prefix },
            action: { service, timeout, maxAttempts },
          },
        ],
      }),
    ),
    clusters: services.map((name) => ({
      name,
      healthPath: HEALTH_PATH,
      maxConns: 220,
      protocol: 'h1',
      tls: false,
    })),
  };
}
