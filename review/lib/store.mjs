// Stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata store").
import * as http from 'node:http';

const PAGE_ITEMS = 500;
const HISTORY_MS = 20_000;

/** Linearizable store with ranges and watches. Behaves soundly at all times. */
export class Store {
  constructor() {
    this.revision = 100;
    this.items = new Map();
    this.history = [];
    this.historyStart = this.revision;
    this.watches = new Set();
    this.server = http.createServer((request, response) => this.serve(request, response));
  }

  listen(port) {
    return new Promise((resolve) => this.server.listen(port, '127.0.0.1', resolve));
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes an item. Returns once the store has accepted it, which is the acknowledgement. */
  put(key, value) {
    this.apply({ key, value: Buffer.from(JSON.stringify(value)).toString('base64') });
  }

  remove(key) {
    this.apply({ key, deleted: true });
  }

  apply(change) {
    this.revision += 1;
    const old = this.items.get(change.key);
    const createRev = old?.createRev ?? this.revision;
    const item = { ...change, revision: this.revision, createRev, lease: 0 };
    if (change.deleted) this.items.delete(change.key);
    else this.items.set(change.key, item);
    const event = change.deleted
      ? { key: change.key, revision: this.revision, deleted: true }
      : item;
    this.history.push({ event, atMs: performance.now() });
    while (this.history.length > 0 && performance.now() - this.history[0].atMs > HISTORY_MS) {
      this.historyStart = this.history.shift().event.revision;
    }
    [...this.watches].forEach((wake) => wake());
  }

  serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    if (url.pathname === '/v1/kv-range') this.range(query, response);
    else if (url.pathname === '/v1/kv-watch') this.watch(query, response);
    else if (url.pathname === '/v1/kv-key') this.key(query, response);
    else response.writeHead(404).end();
  }

  reply(response, content) {
    const body = JSON.stringify({ ...content, storeRevision: this.revision });
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    response.end(body);
  }

  key(query, response) {
    const item = this.items.get(query.get('key'));
    if (item === undefined) response.writeHead(404).end();
    else this.reply(response, item);
  }

  range(query, response) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const items = found.slice(0, PAGE_ITEMS);
    this.reply(response, { items, truncated: found.length > items.length });
  }

  watch(query, response) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    if (after < this.historyStart) {
      response.writeHead(410).end();
      return;
    }
    const events = () =>
      this.history
        .map(({ event }) => event)
        .filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    const waitMs = Math.min(30_000, Number(query.get('waitMs')));
    let timer;
    const wake = () => {
      const found = events();
      if (found.length === 0 && timer !== undefined) return;
      finish(found);
    };
    const finish = (found) => {
      clearTimeout(timer);
      this.watches.delete(wake);
      if (!response.destroyed) this.reply(response, { events: found });
    };
    const found = events();
    if (found.length > 0) {
      finish(found);
      return;
    }
    timer = setTimeout(() => finish([]), waitMs);
    this.watches.add(wake);
    response.once('close', () => {
      clearTimeout(timer);
      this.watches.delete(wake);
    });
  }
}
