import * as undici from 'undici';
import * as zod from 'zod';

import type * as directoryTypes from '../common/directory/Types';
import type * as types from '../common/Types';
import type * as nodeTypes from '../node/directory/Types';
import * as readBody from '../node/readBody';
import * as recordDecoder from './RecordDecoder';
import * as storeRevisions from './StoreRevisions';
import * as transferLimit from '../node/TransferLimit';
import * as wireNames from './WireNames';

/** Time until the first bytes of a reply, and from then on without further ones, in milliseconds. */
const READ_TIMEOUT_MS = 1_500;

/** Time for the whole of a reply after its first bytes, in milliseconds. */
const TRANSFER_TIMEOUT_MS = 6_000;

/** Time added to the wait time of a watch to get its timeout, in milliseconds. */
const WATCH_TIMEOUT_MARGIN_MS = 1_000;

/** Maximum pages of a listing; more means that the store does not paginate as documented. */
const MAX_PAGES = 1_000;

const STATUS_OK = 200;
const STATUS_GONE = 410;

type Failure = directoryTypes.DirectoryFailure;

/**
 * Maximum size of a reply, in bytes. A page or a watch holds about 1 MB of items, or one item of
 * 1 MB, in base64.
 */
const MAX_REPLY_BYTES = 16 * 1024 * 1024;

/** Reply of the store: a page of items, or the events of a watch. */
const REPLY = zod.object({
  items: zod.array(zod.unknown()).optional(),
  events: zod.array(zod.unknown()).optional(),
  /** Whether further pages follow. */
  truncated: zod.boolean().optional(),
  storeRevision: zod.int(),
});

/** A reply with the era of the store, which its header tells, and its size in bytes. */
type IStoreReply = Readonly<zod.infer<typeof REPLY>> &
  storeRevisions.IStoreState & { readonly bytes: number };

/** Era of a store that was never restored, and of one that does not tell. */
const FIRST_ERA = 0;

function unavailable(detail: string): { readonly ok: false; readonly error: Failure } {
  return { ok: false, error: { kind: 'unavailable', detail } };
}

/** Returns the newest revision in a page. `storeRevision` may be newer than a stale page. */
function newestRevision({ era, items }: IStoreReply): number {
  const revisions = (items ?? []).map((item) => Number(Object(item).revision));
  return Math.max(
    0,
    ...revisions.filter((storeRevision) => storeRevisions.isValid({ era, storeRevision })),
  );
}

/** Returns the era in the headers of a reply, or undefined if it is malformed. */
function eraOf(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): number | undefined {
  const text = headers[wireNames.STORE_ERA] ?? `${FIRST_ERA}`;
  return typeof text === 'string' && /^\d+$/.test(text) ? Number(text) : undefined;
}

/** Returns the key of the last item in a page, or undefined if the page has none. */
function lastKeyOf({ items }: IStoreReply): string | undefined {
  const key: unknown = Object(items?.at(-1)).key;
  return typeof key === 'string' ? key : undefined;
}

/** Reads the platform's metadata store over HTTP. */
export class StoreClient implements nodeTypes.IDirectorySource {
  private agent = StoreClient.makeAgent();

  /** Era of the latest listing. */
  private listedEra: number | undefined;

  /** @param baseUrl Scheme, IP address and port. */
  public constructor(
    private baseUrl: string,
    private readonly clock: types.IClock,
  ) {}

  /** Sets the base URL of subsequent reads. */
  public setBaseUrl(baseUrl: string): void {
    this.baseUrl = baseUrl;
  }

  public async list(
    mayBeStale: boolean,
  ): Promise<types.Result<nodeTypes.Read<directoryTypes.IDirectoryListing>, Failure>> {
    const items: unknown[] = [];
    let bytes = 0;
    let state: storeRevisions.IStoreState | undefined;
    let after = '';
    for (let page = 0; page < MAX_PAGES; page += 1) {
      const query: Record<string, string> = { prefix: '', ...(mayBeStale && { staleOk: '1' }) };
      // Each page starts after the last key of the previous one.
      if (after !== '') query.after = after;
      const reply = await this.read('kv-range', query, READ_TIMEOUT_MS);
      if (!reply.ok) return reply;
      const { era, storeRevision } = reply.value;
      items.push(...(reply.value.items ?? []));
      bytes += reply.value.bytes;
      // Pages are read one by one. A watch from the first page's revision returns later changes.
      state ??= { era, storeRevision: mayBeStale ? newestRevision(reply.value) : storeRevision };
      if (era !== state.era) return unavailable('the store was restored during the listing');
      const last = lastKeyOf(reply.value);
      if (reply.value.truncated !== true || last === undefined) {
        const content = this.decode(items, state, bytes);
        return { ok: true, value: { ...content, isRestored: this.advanceEra(era) } };
      }
      after = last;
    }
    return unavailable(`the listing has more than ${MAX_PAGES} pages`);
  }

  public async watch(
    revision: number,
    waitMs: number,
  ): Promise<types.Result<nodeTypes.Read<directoryTypes.IDirectoryChanges>, Failure>> {
    const known = storeRevisions.toStoreState(revision);
    const query = { prefix: '', after: `${known.storeRevision}`, waitMs: `${waitMs}` };
    const reply = await this.read('kv-watch', query, waitMs + WATCH_TIMEOUT_MARGIN_MS);
    if (!reply.ok) return reply;
    const { era, storeRevision, events, bytes } = reply.value;
    // The revisions of another era say nothing about the changes that this daemon lacks.
    if (era > known.era) return { ok: false, error: { kind: 'history-lost' } };
    if (era < known.era) return unavailable(`the reply is of era ${era}, before ${known.era}`);
    return { ok: true, value: this.decode(events ?? [], { era, storeRevision }, bytes) };
  }

  public reset(): void {
    // Each aborted read returns its own failure, so a rejection of `destroy` is ignored.
    this.agent.destroy().catch(() => undefined);
    this.agent = StoreClient.makeAgent();
  }

  private decode(
    items: readonly unknown[],
    state: storeRevisions.IStoreState,
    bytes: number,
  ): nodeTypes.Read<directoryTypes.IDirectoryChanges> {
    const startMs = this.clock.monotonicMs();
    const records = recordDecoder.decodeItems(items, state);
    const decodeMs = Math.round(this.clock.monotonicMs() - startMs);
    return { records, revision: storeRevisions.toRevision(state), cost: { bytes, decodeMs } };
  }

  /** Returns whether the era of a complete listing is later than that of the one before. */
  private advanceEra(era: number): boolean {
    const isRestored = this.listedEra !== undefined && era > this.listedEra;
    this.listedEra = Math.max(era, this.listedEra ?? FIRST_ERA);
    return isRestored;
  }

  private static makeAgent(): undici.Agent {
    return new undici.Agent({ connections: 1, pipelining: 1, maxResponseSize: MAX_REPLY_BYTES });
  }

  private async read(
    operation: 'kv-range' | 'kv-watch',
    query: Readonly<Record<string, string>>,
    timeoutMs: number,
  ): Promise<types.Result<IStoreReply, Failure>> {
    const limit = new transferLimit.TransferLimit(
      { firstByteMs: timeoutMs, stallMs: READ_TIMEOUT_MS, totalMs: TRANSFER_TIMEOUT_MS },
      this.clock,
    );
    try {
      const reply = await this.agent.request({
        origin: this.baseUrl,
        path: `/v1/${operation}?${new URLSearchParams(query).toString()}`,
        method: 'GET',
        signal: limit.signal,
      });
      limit.recordBytes();
      reply.body.on('data', () => limit.recordBytes());
      const body = await readBody.readBody(reply.body, MAX_REPLY_BYTES);
      if (reply.statusCode === STATUS_GONE) return { ok: false, error: { kind: 'history-lost' } };
      if (reply.statusCode !== STATUS_OK) return unavailable(`status ${reply.statusCode}`);
      const parsed = REPLY.safeParse(JSON.parse(body.toString()));
      if (!parsed.success)
        return unavailable(`malformed reply: ${parsed.error.issues[0]?.message}`);
      const { storeRevision } = parsed.data;
      const era = eraOf(reply.headers);
      if (era === undefined || !storeRevisions.isValid({ era, storeRevision }))
        return unavailable('malformed reply: its era or revision is no number in range');
      return { ok: true, value: { ...parsed.data, era, bytes: body.length } };
    } catch (error) {
      return unavailable((error as Error).message);
    } finally {
      limit.dispose();
    }
  }
}
