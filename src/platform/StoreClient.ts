import * as undici from 'undici';

import type * as directoryTypes from '../common/directory/Types';
import type * as types from '../common/Types';
import type * as nodeTypes from '../node/directory/Types';
import * as recordDecoder from './RecordDecoder';

const READ_TIMEOUT_MS = 1_500;

/** Time added to the wait time of a watch to get its timeout, in milliseconds. */
const WATCH_TIMEOUT_MARGIN_MS = 1_000;

/** Maximum pages of a listing; more means that the store does not paginate as documented. */
const MAX_PAGES = 1_000;

const STATUS_OK = 200;
const STATUS_GONE = 410;

type Failure = directoryTypes.DirectoryFailure;

/** Reply of the store: a page of items, or the events of a watch. */
interface IStoreReply {
  readonly items?: readonly recordDecoder.IStoreItem[];
  readonly events?: readonly recordDecoder.IStoreItem[];
  /** Whether further pages follow. */
  readonly truncated?: boolean;
  readonly storeRevision: number;
}

function unavailable(detail: string): { readonly ok: false; readonly error: Failure } {
  return { ok: false, error: { kind: 'unavailable', detail } };
}

/** Returns the newest revision in a page. `storeRevision` may be newer than a stale page. */
function newestRevision({ items }: IStoreReply): number {
  return Math.max(0, ...(items ?? []).map((item) => item.revision));
}

/** Reads the platform's metadata store over HTTP. */
export class StoreClient implements nodeTypes.IDirectorySource {
  private agent = StoreClient.makeAgent();

  /** @param baseUrl Scheme, IP address and port. */
  public constructor(private baseUrl: string) {}

  /** Sets the base URL of subsequent reads. */
  public setBaseUrl(baseUrl: string): void {
    this.baseUrl = baseUrl;
  }

  public async list(
    mayBeStale: boolean,
  ): Promise<types.Result<directoryTypes.IDirectoryListing, Failure>> {
    const items: recordDecoder.IStoreItem[] = [];
    let revision: number | undefined;
    let after = '';
    for (let page = 0; page < MAX_PAGES; page += 1) {
      const query: Record<string, string> = { prefix: '', ...(mayBeStale && { staleOk: '1' }) };
      // Each page starts after the last key of the previous one.
      if (after !== '') query.after = after;
      const reply = await this.read('kv-range', query, READ_TIMEOUT_MS);
      if (!reply.ok) return reply;
      items.push(...(reply.value.items ?? []));
      // Pages are read one by one. A watch from the first page's revision returns later changes.
      revision ??= mayBeStale ? newestRevision(reply.value) : reply.value.storeRevision;
      const last = reply.value.items?.at(-1)?.key;
      if (reply.value.truncated !== true || last === undefined) {
        return { ok: true, value: { records: recordDecoder.decodeItems(items), revision } };
      }
      after = last;
    }
    return unavailable(`the listing has more than ${MAX_PAGES} pages`);
  }

  public async watch(
    revision: number,
    waitMs: number,
  ): Promise<types.Result<directoryTypes.IDirectoryChanges, Failure>> {
    const query = { prefix: '', after: `${revision}`, waitMs: `${waitMs}` };
    const reply = await this.read('kv-watch', query, waitMs + WATCH_TIMEOUT_MARGIN_MS);
    if (!reply.ok) return reply;
    const records = recordDecoder.decodeItems(reply.value.events ?? []);
    return { ok: true, value: { records, revision: reply.value.storeRevision } };
  }

  public reset(): void {
    // Each aborted read returns its own failure, so a rejection of `destroy` is ignored.
    this.agent.destroy().catch(() => undefined);
    this.agent = StoreClient.makeAgent();
  }

  private static makeAgent(): undici.Agent {
    return new undici.Agent({ connections: 1, pipelining: 1 });
  }

  private async read(
    operation: 'kv-range' | 'kv-watch',
    query: Readonly<Record<string, string>>,
    timeoutMs: number,
  ): Promise<types.Result<IStoreReply, Failure>> {
    try {
      const reply = await this.agent.request({
        origin: this.baseUrl,
        path: `/v1/${operation}?${new URLSearchParams(query).toString()}`,
        method: 'GET',
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await reply.body.text();
      if (reply.statusCode === STATUS_GONE) return { ok: false, error: { kind: 'history-lost' } };
      if (reply.statusCode !== STATUS_OK) return unavailable(`status ${reply.statusCode}`);
      const content = JSON.parse(text) as IStoreReply;
      if (!Number.isSafeInteger(content.storeRevision)) return unavailable('no store revision');
      return { ok: true, value: content };
    } catch (error) {
      return unavailable((error as Error).message);
    }
  }
}
