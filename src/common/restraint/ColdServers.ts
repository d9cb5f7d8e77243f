import * as lruCache from 'lru-cache';

import type * as directoryTypes from '../directory/Types';
import * as emitter from '../Emitter';
import type * as types from '../Types';
import * as coldShare from './ColdShare';
import * as keys from './keyOf';
import * as memberHistory from './MemberHistory';
import * as newStatements from './NewStatements';
import type * as restraintTypes from './Types';

/** Server processes that are remembered, also after they left the directory. */
const MAX_SERVERS = 4_000;

/** Longest time for which a server counts as cold after one statement, in milliseconds. */
const MAX_COLD_MS = 600_000;

/** Time for which a process that starts and states nothing counts as cold, in milliseconds. */
const ASSUMED_COLD_MS = 10_000;

/** Time over which requests count as recent when a server turns out to be cold, in milliseconds. */
const RECENT_MS = 1_000;

/** Requests to a warm server that are remembered for that. */
const MAX_RECENT = 8;

/** Time for which a permit holds a request that waits for its connection, in milliseconds. */
const PERMIT_AGE_MS = 500;

/** Extension of the cold period that is reported, in milliseconds. */
const REPORTED_EXTENSION_MS = 1_000;

/** Longest delay after which callers may return, in milliseconds. */
const MAX_RETURN_DELAY_MS = 2_000;

interface IEntry {
  readonly server: restraintTypes.IWarmingServer;
  /** Monotonic times. */
  coldSinceMs: number;
  coldUntilMs: number;
  source: restraintTypes.ColdSource;
  /** Kept while the server is warm, for the ranks. */
  share: coldShare.ColdShare | undefined;
  timer: types.IDisposable | undefined;
  /** Starts of recent requests. */
  requestsMs: number[];
}

/**
 * Knows which servers are cold, and how many requests this daemon may send to each of them. The
 * bound holds for all daemons together, in contact or not; no messages are needed for it.
 */
export class ColdServers implements types.IDisposable {
  private readonly entries = new lruCache.LRUCache<string, IEntry>({
    max: MAX_SERVERS,
    dispose: (entry) => this.forget(entry),
  });

  /** Entries of cold servers. Empty most of the time, which makes questions about servers cheap. */
  private readonly cold = new Set<IEntry>();

  private readonly statements = new newStatements.NewStatements();

  private readonly changedEmitter = new emitter.Emitter<restraintTypes.IColdChange>();

  /** Fires when a server becomes cold, is warm again, or turns out to be cold for longer. */
  public readonly onChanged: types.Event<restraintTypes.IColdChange> = this.changedEmitter.event;

  private readonly history: memberHistory.MemberHistory;

  private view: coldShare.IColdView;

  /** @param readTerms Returns the bound; undefined if requests to cold servers are not bounded. */
  public constructor(
    own: string,
    private readonly readTerms: () => restraintTypes.IColdTerms | undefined,
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
  ) {
    this.history = new memberHistory.MemberHistory(own, clock);
    this.view = { own, members: undefined };
  }

  /** Number of cold servers. */
  public get count(): number {
    return this.cold.size;
  }

  /** Cold servers, with the time that is left and the share of this daemon. */
  public get statuses(): readonly restraintTypes.IColdChange[] {
    return [...this.cold].map((entry) => this.changeOf(entry));
  }

  /**
   * Sets the daemons known now. To be called every second.
   * @param seedPeers Peers in the settings, whether they are known or not.
   */
  public setMembers(daemons: readonly string[], seedPeers: readonly string[]): void {
    this.history.record(daemons, seedPeers);
    const { members } = this.history;
    if (members === this.view.members) return;
    this.view = { own: this.view.own, members };
    this.cold.forEach(({ share }) => share?.setView(this.view));
  }

  /**
   * Records what the directory lists. A process that was not listed before is taken for cold if it
   * states nothing, except in the first list.
   * @param rateOf Returns the requests a second that a cold server of a service takes, if limited.
   */
  public recordRegistrations(
    registrations: readonly directoryTypes.IRegistration[],
    rateOf: (service: string) => number | undefined,
  ): void {
    const { isFirst } = this.statements;
    this.statements.take(registrations).forEach((registration) => {
      const { id, address, startedAtMs, service, coldMs } = registration;
      const coldRequestsPerSecond = rateOf(service);
      const server = { address, instance: id, startedAtMs, coldRequestsPerSecond };
      const isStarted = !isFirst && !this.entries.has(keys.keyOf(server));
      const entry = this.entryOf(server);
      if (entry === undefined) return;
      if (coldMs !== undefined) this.state(entry, coldMs, 'directory');
      else if (isStarted) this.state(entry, ASSUMED_COLD_MS, 'start');
    });
  }

  /** Records the time for which a server stays cold by its own response. */
  public recordStatement(
    server: restraintTypes.IWarmingServer,
    coldMs: number,
    source: restraintTypes.SignalSource,
  ): void {
    const isKnown = coldMs > 0 || this.entries.has(keys.keyOf(server));
    const entry = isKnown ? this.entryOf(server) : undefined;
    if (entry !== undefined) this.state(entry, coldMs, source);
  }

  /** Whether a server is cold and this daemon may send it no request now. */
  public isHeldBack(server: restraintTypes.IWarmingServer): boolean {
    const share = this.shareOf(server);
    return share !== undefined && !share.hasPermit;
  }

  /**
   * Whether a request that was started for a server may be sent now that its connection is open. It
   * needs a permit if the server turned out to be cold meanwhile, or if its permit is too old.
   * @param startedMs Monotonic time of `recordRequest`.
   */
  public mayStart(server: restraintTypes.IWarmingServer, startedMs: number): boolean {
    const share = this.shareOf(server);
    if (share === undefined) return true;
    const { coldSinceMs } = this.entries.get(keys.keyOf(server)) as IEntry;
    const isPermitted =
      startedMs >= coldSinceMs && this.clock.monotonicMs() - startedMs <= PERMIT_AGE_MS;
    if (isPermitted) return true;
    if (!share.hasPermit) return false;
    share.recordRequest();
    return true;
  }

  /** Records that a request is sent to a server. */
  public recordRequest(server: restraintTypes.IWarmingServer): void {
    const share = this.shareOf(server);
    if (share !== undefined) {
      share.recordRequest();
      return;
    }
    const entry = this.entryOf(server);
    if (entry === undefined) return;
    entry.requestsMs.push(this.clock.monotonicMs());
    if (entry.requestsMs.length > MAX_RECENT) entry.requestsMs.shift();
  }

  /** Returns the delay after which a caller may return because of a server, in milliseconds. */
  public waitMs(server: restraintTypes.IWarmingServer): number {
    if (!this.isHeldBack(server)) return 0;
    const entry = this.entries.get(keys.keyOf(server)) as IEntry;
    // Another daemon may serve a caller that returns, so what counts is the rate of the server.
    const { perSecond } = this.budgetOf(server);
    const turnMs = perSecond > 0 ? Math.min(MAX_RETURN_DELAY_MS, 1_000 / perSecond) : Infinity;
    return Math.max(1, Math.min(entry.coldUntilMs - this.clock.monotonicMs(), turnMs));
  }

  public dispose(): void {
    this.entries.clear();
  }

  /** Returns the entry of a server; undefined if requests to it are not bounded. */
  private entryOf(server: restraintTypes.IWarmingServer): IEntry | undefined {
    if (server.coldRequestsPerSecond === undefined || this.readTerms() === undefined) {
      return undefined;
    }
    const key = keys.keyOf(server);
    const known = this.entries.get(key);
    if (known !== undefined) return known;
    const { address, instance, startedAtMs, coldRequestsPerSecond } = server;
    const entry: IEntry = {
      server: { address, instance, startedAtMs, coldRequestsPerSecond },
      coldSinceMs: Number.NEGATIVE_INFINITY,
      coldUntilMs: Number.NEGATIVE_INFINITY,
      source: 'start',
      share: undefined,
      timer: undefined,
      requestsMs: [],
    };
    this.entries.set(key, entry);
    return entry;
  }

  /** Returns the share of this daemon in a cold server; undefined if requests are not bounded. */
  private shareOf(server: restraintTypes.IWarmingServer): coldShare.ColdShare | undefined {
    if (this.cold.size === 0 || server.coldRequestsPerSecond === undefined) return undefined;
    const entry = this.entries.get(keys.keyOf(server));
    if (entry === undefined || !this.cold.has(entry)) return undefined;
    if (this.readTerms() === undefined) return undefined;
    entry.share?.setBudget(this.budgetOf(server));
    return entry.share;
  }

  private budgetOf({
    coldRequestsPerSecond = 0,
  }: restraintTypes.IWarmingServer): coldShare.IColdBudget {
    const terms = this.readTerms();
    if (terms === undefined) return { perSecond: 0, burst: 0 };
    return coldShare.budgetOf(coldRequestsPerSecond, terms);
  }

  private state(entry: IEntry, coldMs: number, source: restraintTypes.ColdSource): void {
    const nowMs = this.clock.monotonicMs();
    const untilMs = nowMs + Math.min(coldMs, MAX_COLD_MS);
    const wasCold = this.cold.has(entry);
    // The directory may be older than what the server told this daemon itself.
    const isIndirect = source === 'directory' || source === 'start';
    const wasDirect = entry.source === 'check' || entry.source === 'answer';
    if (isIndirect && wasCold && wasDirect && untilMs <= entry.coldUntilMs) return;
    const extensionMs = untilMs - entry.coldUntilMs;
    Object.assign(entry, { coldUntilMs: untilMs, source });
    if (untilMs > nowMs && !wasCold) this.begin(entry);
    else if (untilMs <= nowMs) this.end(entry);
    else if (extensionMs >= REPORTED_EXTENSION_MS) this.report(entry);
    if (untilMs > nowMs) this.awaitEnd(entry);
  }

  private begin(known: IEntry): void {
    const entry = known;
    const nowMs = this.clock.monotonicMs();
    const { address } = entry.server;
    entry.share ??= new coldShare.ColdShare(address, this.clock, this.random, this.view);
    entry.share.setView(this.view);
    entry.share.setBudget(this.budgetOf(entry.server));
    entry.share.begin(entry.requestsMs.filter((atMs) => nowMs - atMs <= RECENT_MS).length);
    entry.requestsMs = [];
    entry.coldSinceMs = nowMs;
    this.cold.add(entry);
    this.report(entry);
  }

  private awaitEnd(known: IEntry): void {
    const entry = known;
    entry.timer?.dispose();
    const remainingMs = entry.coldUntilMs - this.clock.monotonicMs();
    // A timer of Node.js drops fractions of a millisecond, and would fire early.
    entry.timer = this.clock.setTimer(Math.ceil(remainingMs), () => this.end(entry));
  }

  private end(known: IEntry): void {
    const entry = known;
    entry.timer?.dispose();
    entry.coldUntilMs = Math.min(entry.coldUntilMs, this.clock.monotonicMs());
    if (this.cold.delete(entry)) this.report(entry);
  }

  private forget(entry: IEntry): void {
    entry.timer?.dispose();
    this.cold.delete(entry);
  }

  private report(entry: IEntry): void {
    this.changedEmitter.fire(this.changeOf(entry));
  }

  private changeOf({ server, source, coldUntilMs, share }: IEntry): restraintTypes.IColdChange {
    return {
      server,
      source,
      coldMs: Math.max(0, coldUntilMs - this.clock.monotonicMs()),
      sharePerSecond: share?.perSecond ?? 0,
    };
  }
}
