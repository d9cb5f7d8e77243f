import * as lruCache from 'lru-cache';

import * as emitter from '../Emitter';
import type * as types from '../Types';
import type * as coldServers from './ColdServers';
import * as keys from './keyOf';
import * as requestShare from './RequestShare';
import type * as restraintTypes from './Types';

/** Daemons assumed to share a limit before anything is known about the fleet. */
const ASSUMED_DAEMON_COUNT = 24;

/** Server processes whose statements are remembered, also after they left the directory. */
const MAX_SERVERS = 4_000;

/** Longest time for which a server is left alone because it asked for it, in milliseconds. */
const MAX_PAUSE_MS = 600_000;

/** Time over which requests to a server with a limit are counted for the log, in milliseconds. */
const COUNTED_MS = 4_000;

/**
 * Checks a second, of all daemons together, that ask a server which gets no requests whether its
 * limit still holds.
 */
const FLEET_RECHECKS_PER_SECOND = 10;

/** Shortest time after which a limit that was not stated again is checked, in milliseconds. */
const MIN_RECHECK_MS = 1_000;

/** Longest delay after which callers may return because of a limit, in milliseconds. */
const MAX_LIMIT_DELAY_MS = 2_000;

/**
 * Delay after which callers may return while the first request after a pause is in progress, in
 * milliseconds.
 */
const RETURNING_DELAY_MS = 50;

/** Range of the random factor on the delay after which callers may return. */
const MAX_RETRY_SPREAD = 2;

interface ILimit {
  readonly share: requestShare.RequestShare;
  value: number;
  /** Kinds of responses that name the limit. Only these end it by not naming it. */
  readonly sources: Set<restraintTypes.SignalSource>;
  statedAtMs: number;
  /** Starts of recent requests, in monotonic milliseconds. */
  requestsMs: number[];
}

interface IEntry {
  readonly server: restraintTypes.IServerProcess;
  isLeaving: boolean;
  /** Monotonic time. */
  pausedUntilMs: number;
  /** State of the single request that is let in first after a pause. */
  firstRequest: 'none' | 'due' | 'in-progress';
  limit: ILimit | undefined;
}

/**
 * Remembers what servers state about the requests that they want: that they leave, how many a second
 * they take from all daemons, and for how long they want none from this one. What a server stated
 * holds for its process, also while the directory lacks it or says otherwise.
 */
export class ServerRestraints {
  private readonly entries = new lruCache.LRUCache<string, IEntry>({ max: MAX_SERVERS });

  private readonly changedEmitter = new emitter.Emitter<restraintTypes.ISignalChange>();

  private readonly leavingEmitter = new emitter.Emitter<restraintTypes.IServerProcess>();

  /** Fires when a server states something new to this daemon. */
  public readonly onChanged: types.Event<restraintTypes.ISignalChange> = this.changedEmitter.event;

  /** Fires when a server states to this daemon that it leaves; shared with peers. */
  public readonly onLeaving: types.Event<restraintTypes.IServerProcess> = this.leavingEmitter.event;

  private view: restraintTypes.IDaemonView;

  /** @param cold Which servers are cold, if requests to them are bounded. */
  public constructor(
    own: string,
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
    private readonly cold?: coldServers.ColdServers,
  ) {
    this.view = { own, daemons: undefined, assumedCount: ASSUMED_DAEMON_COUNT };
  }

  /** Number of servers that name a limit. */
  public get limitedCount(): number {
    return [...this.entries.values()].filter(({ limit }) => limit !== undefined).length;
  }

  /** Servers that get no new requests now, or that name a limit. */
  public get restrained(): readonly restraintTypes.IRestrainedServer[] {
    return [...this.entries.values()]
      .map(({ server, pausedUntilMs, limit }) => ({
        server,
        restraint: this.restraintOf(server),
        pauseMs: Math.max(0, pausedUntilMs - this.clock.monotonicMs()),
        limit: limit?.value,
        sharePerSecond: limit?.share.perSecond,
      }))
      .filter(({ restraint, limit }) => restraint !== undefined || limit !== undefined);
  }

  /**
   * Sets the daemons that share the limits of servers.
   * @param daemons Undefined if they are not all known yet.
   * @param assumedCount Number of daemons to assume then.
   */
  public setDaemons(
    daemons: readonly string[] | undefined,
    assumedCount = ASSUMED_DAEMON_COUNT,
  ): void {
    const sorted = daemons === undefined ? undefined : [...daemons].sort();
    const { view } = this;
    if (sorted?.join() === view.daemons?.join() && assumedCount === view.assumedCount) return;
    this.view = { own: view.own, daemons: sorted, assumedCount };
    this.entries.forEach(({ limit }) => limit?.share.setView(this.view));
  }

  /**
   * Records what a server states in a response.
   * @param requestId Identifier of the request that was answered.
   */
  public record(
    server: restraintTypes.IWarmingServer,
    signals: restraintTypes.IServerSignals,
    source: restraintTypes.SignalSource,
    requestId?: string,
  ): void {
    if (signals.coldMs !== undefined) this.cold?.recordStatement(server, signals.coldMs, source);
    const isDisregarded = signals.disregarded !== undefined;
    const states =
      typeof signals.limit === 'number' ||
      signals.isLeaving ||
      signals.pauseMs > 0 ||
      isDisregarded;
    const entry = this.entries.get(keys.keyOf(server)) ?? (states ? this.add(server) : undefined);
    if (entry === undefined) return;
    const hasLimit = this.recordLimit(entry, signals.limit, source);
    const isLeaving = signals.isLeaving && !entry.isLeaving;
    const isPaused = this.recordPause(entry, signals.pauseMs);
    entry.isLeaving ||= signals.isLeaving;
    if (hasLimit || isLeaving || isPaused || isDisregarded) {
      const sharePerSecond = entry.limit?.share.perSecond;
      const recentRequests = this.recentRequests(entry);
      const change = { server, source, requestId, signals, recentRequests, sharePerSecond };
      this.changedEmitter.fire(change);
    }
    if (isLeaving) this.leavingEmitter.fire(entry.server);
  }

  /** Records that a server stated to a peer that it leaves. */
  public mergeLeaving(server: restraintTypes.IServerProcess): void {
    const entry = this.entries.get(keys.keyOf(server)) ?? this.add(server);
    entry.isLeaving = true;
  }

  /** Records that a request was sent to a server. */
  public recordRequest(server: restraintTypes.IWarmingServer): void {
    this.cold?.recordRequest(server);
    const entry = this.entries.get(keys.keyOf(server));
    if (entry === undefined) return;
    if (entry.firstRequest === 'due') entry.firstRequest = 'in-progress';
    const { limit } = entry;
    if (limit === undefined) return;
    limit.share.recordRequest();
    const nowMs = this.clock.monotonicMs();
    limit.requestsMs = limit.requestsMs.filter((atMs) => nowMs - atMs <= COUNTED_MS);
    limit.requestsMs.push(nowMs);
  }

  /** Records that a request to a server has ended. */
  public recordRequestEnd(server: restraintTypes.IServerProcess): void {
    const entry = this.entries.get(keys.keyOf(server));
    if (entry?.firstRequest === 'in-progress') entry.firstRequest = 'none';
  }

  /** Returns why a server gets no new requests now, or undefined. */
  public restraintOf(server: restraintTypes.IWarmingServer): restraintTypes.Restraint | undefined {
    const entry = this.entries.get(keys.keyOf(server));
    if (entry?.isLeaving === true) return 'leaving';
    if (entry !== undefined && this.clock.monotonicMs() < entry.pausedUntilMs) return 'paused';
    if (entry?.firstRequest === 'in-progress') return 'returning';
    if (entry?.limit !== undefined && entry.limit.share.waitMs > 0) return 'limited';
    return this.cold?.isHeldBack(server) === true ? 'cold' : undefined;
  }

  /**
   * Whether a request that was started for a server may be sent: the server has stated neither that
   * it leaves nor that it wants a pause now, and is not found to be cold.
   * @param startedMs Monotonic time of `recordRequest`.
   */
  public mayStart(server: restraintTypes.IWarmingServer, startedMs: number): boolean {
    const entry = this.entries.get(keys.keyOf(server));
    if (entry?.isLeaving === true) return false;
    if (entry !== undefined && this.clock.monotonicMs() < entry.pausedUntilMs) return false;
    return this.cold?.mayStart(server, startedMs) ?? true;
  }

  /** Whether a server that gets no requests should be checked, since its limit may have ended. */
  public isRecheckDue(server: restraintTypes.IServerProcess): boolean {
    const limit = this.entries.get(keys.keyOf(server))?.limit;
    if (limit === undefined) return false;
    const daemons = this.view.daemons?.length ?? 1;
    const intervalMs = Math.max(MIN_RECHECK_MS, (1_000 * daemons) / FLEET_RECHECKS_PER_SECOND);
    return this.clock.monotonicMs() - limit.statedAtMs > intervalMs;
  }

  /**
   * Returns the delay after which callers may return if all these servers are restrained, in
   * milliseconds, or undefined if one of them is not. It is spread, so that callers who were refused
   * together do not return together.
   */
  public retryDelayMs(servers: readonly restraintTypes.IWarmingServer[]): number | undefined {
    const staying = servers.filter((server) => this.restraintOf(server) !== 'leaving');
    if (staying.length === 0) return undefined;
    const waitMs = Math.min(...staying.map((server) => this.waitOf(server)));
    if (waitMs === 0) return undefined;
    return waitMs * (1 + (MAX_RETRY_SPREAD - 1) * this.random.next());
  }

  private waitOf(server: restraintTypes.IWarmingServer): number {
    const coldMs = this.cold?.waitMs(server) ?? 0;
    const entry = this.entries.get(keys.keyOf(server));
    if (entry === undefined) return coldMs;
    const pauseMs = Math.max(0, entry.pausedUntilMs - this.clock.monotonicMs());
    const returningMs = entry.firstRequest === 'in-progress' ? RETURNING_DELAY_MS : 0;
    // Another daemon may serve a caller that returns, so what counts is the rate of the server.
    const { limit } = entry;
    const isLimited = limit !== undefined && limit.share.waitMs > 0;
    const limitMs = isLimited ? Math.min(MAX_LIMIT_DELAY_MS, 1_000 / limit.value) : 0;
    return Math.max(coldMs, pauseMs, returningMs, limitMs);
  }

  private add(server: restraintTypes.IServerProcess): IEntry {
    const { address, instance, startedAtMs } = server;
    const entry: IEntry = {
      server: { address, instance, startedAtMs },
      isLeaving: false,
      pausedUntilMs: Number.NEGATIVE_INFINITY,
      firstRequest: 'none',
      limit: undefined,
    };
    this.entries.set(keys.keyOf(server), entry);
    return entry;
  }

  private recordLimit(
    entry: IEntry,
    stated: restraintTypes.IServerSignals['limit'],
    source: restraintTypes.SignalSource,
  ): boolean {
    const { limit } = entry;
    if (stated === 'unknown') return false;
    if (stated === 'none') {
      if (limit?.sources.has(source) !== true) return false;
      Object.assign(entry, { limit: undefined });
      return true;
    }
    const nowMs = this.clock.monotonicMs();
    if (limit === undefined) {
      const share = new requestShare.RequestShare(entry.server.address, this.clock, this.view);
      const sources = new Set([source]);
      share.setLimit(stated);
      Object.assign(entry, {
        limit: { share, value: stated, sources, statedAtMs: nowMs, requestsMs: [] },
      });
      return true;
    }
    const isChanged = stated !== limit.value;
    limit.share.setLimit(stated);
    limit.sources.add(source);
    Object.assign(limit, { value: stated, statedAtMs: nowMs });
    return isChanged;
  }

  private recordPause(entry: IEntry, pauseMs: number): boolean {
    if (pauseMs <= 0) return false;
    const untilMs = this.clock.monotonicMs() + Math.min(pauseMs, MAX_PAUSE_MS);
    if (untilMs <= entry.pausedUntilMs) return false;
    Object.assign(entry, { pausedUntilMs: untilMs, firstRequest: 'due' });
    return true;
  }

  private recentRequests({ limit }: IEntry): number {
    const nowMs = this.clock.monotonicMs();
    return limit?.requestsMs.filter((atMs) => nowMs - atMs <= COUNTED_MS).length ?? 0;
  }
}
