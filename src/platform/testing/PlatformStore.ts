import * as http from 'node:http';
import type * as net from 'node:net';

const STATUS_OK = 200;
const STATUS_GONE = 410;
const STATUS_UNAVAILABLE = 503;
const PAGE_ITEMS = 3;

interface IItem {
  readonly key: string;
  readonly value?: string;
  readonly revision: number;
  readonly deleted?: boolean;
}

/** Fault that the store simulates. */
export type StoreFault =
  | 'none'
  /** Responds with status 503. */
  | 'busy'
  /** Resets each connection. */
  | 'reset'
  /** Accepts requests and never responds. */
  | 'silent'
  /** Leaves pending watches without a response, even after a change. */
  | 'deaf';

/** Copy of the store. */
export interface IStoreCopy {
  readonly items: ReadonlyMap<string, IItem>;
  readonly revision: number;
}

/** Stand-in for the platform's metadata store: paginated reads, watches and history compaction. */
export class PlatformStore {
  public fault: StoreFault = 'none';

  /** Paths of the requests received. */
  public readonly calls: string[] = [];

  private readonly items = new Map<string, IItem>();

  /** Items returned to reads that accept stale data; undefined to return the current items. */
  private staleItems: ReadonlyMap<string, IItem> | undefined;

  private history: IItem[] = [];

  private historyStart = 1;

  /** Number of times that the store was restored from a copy. */
  private era = 1;

  private revision = 1;

  private readonly pendingWatches = new Set<() => void>();

  private readonly server = http.createServer((request, response) => this.serve(request, response));

  public async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', () => resolve());
    });
    return `http://127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  public close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  /** Publishes an item. Objects are encoded as JSON, strings are stored unchanged. */
  public put(key: string, value: unknown): void {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.apply({ key, value: Buffer.from(text).toString('base64'), revision: this.revision + 1 });
  }

  public remove(key: string): void {
    this.apply({ key, revision: this.revision + 1, deleted: true });
  }

  /** Returns the current items to all later reads that accept stale data. */
  public freezeStaleReads(): void {
    this.staleItems = new Map(this.items);
  }

  /** Discards the history of changes and closes all connections, which ends pending watches. */
  public compact(): void {
    this.history = [];
    this.historyStart = this.revision + 1;
    this.server.closeAllConnections();
  }

  /** Returns a copy of the store, for `restore`. */
  public copy(): IStoreCopy {
    return { items: new Map(this.items), revision: this.revision };
  }

  /** Loses all changes since the copy. Their revisions are given out again. */
  public restore({ items, revision }: IStoreCopy): void {
    this.era += 1;
    this.items.clear();
    items.forEach((item, key) => this.items.set(key, item));
    this.revision = revision;
    this.history = [];
    this.historyStart = revision + 1;
    this.server.closeAllConnections();
  }

  private apply(item: IItem): void {
    this.revision = item.revision;
    if (item.deleted === true) this.items.delete(item.key);
    else this.items.set(item.key, item);
    this.history.push(item);
    [...this.pendingWatches].forEach((wake) => wake());
  }

  private serve(request: http.IncomingMessage, response: http.ServerResponse): void {
    const url = new URL(request.url ?? '', 'http://store');
    this.calls.push(url.pathname);
    response.setHeader('Store-Era', this.era);
    if (this.fault === 'silent') return;
    if (this.fault === 'reset') {
      request.socket.destroy();
    } else if (this.fault === 'busy') {
      response.writeHead(STATUS_UNAVAILABLE).end();
    } else if (url.pathname === '/v1/kv-range') {
      this.serveRange(url.searchParams, response);
    } else this.serveWatch(url.searchParams, response);
  }

  private serveRange(query: URLSearchParams, response: http.ServerResponse): void {
    const after = query.get('after') ?? '';
    const isStale = query.get('staleOk') === '1';
    const items = isStale ? (this.staleItems ?? this.items) : this.items;
    const sorted = [...items.values()]
      .filter(({ key }) => key.startsWith(query.get('prefix') ?? '') && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    PlatformStore.reply(response, {
      items: sorted.slice(0, PAGE_ITEMS),
      truncated: sorted.length > PAGE_ITEMS,
      storeRevision: this.revision,
    });
  }

  private serveWatch(query: URLSearchParams, response: http.ServerResponse): void {
    const after = Number(query.get('after'));
    if (after + 1 < this.historyStart || after > this.revision) {
      response.writeHead(STATUS_GONE).end();
      return;
    }
    let timer: NodeJS.Timeout | undefined;
    const reply = () => {
      const events = this.history.filter(({ revision }) => revision > after);
      PlatformStore.reply(response, { events, storeRevision: this.revision });
    };
    const wake = () => {
      if (this.fault === 'deaf') return;
      clearTimeout(timer);
      this.pendingWatches.delete(wake);
      reply();
    };
    if (this.revision > after) {
      reply();
      return;
    }
    this.pendingWatches.add(wake);
    timer = setTimeout(wake, Number(query.get('waitMs')));
    response.once('close', () => {
      clearTimeout(timer);
      this.pendingWatches.delete(wake);
    });
  }

  private static reply(response: http.ServerResponse, content: unknown): void {
    response.writeHead(STATUS_OK, { 'content-type': 'application/json' });
    response.end(JSON.stringify(content));
  }
}
