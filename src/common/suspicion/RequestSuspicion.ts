import * as lruCache from 'lru-cache';

import * as emitter from '../Emitter';
import type * as tableTypes from '../table/Types';
import type * as types from '../Types';
import type * as suspicionTypes from './Types';

/** Default number of lost servers at which the request that was in flight on them is refused. */
const SERVERS_TO_REFUSE = 2;

/** Time after which a loss expires, in milliseconds. */
export const SUSPICION_LIFETIME_MS = 60_000;

const MAX_FINGERPRINTS = 1_000;

/** Radix that keeps start times short in the messages to peers. */
const START_TIME_RADIX = 36;

/**
 * Identifies the process of a server among the losses of a request: a server that was started again
 * can be lost again. The address alone, if the table does not tell processes apart.
 */
export function processKeyOf(server: tableTypes.IServerRow): string {
  const { address, instance, startedAtMs } = server;
  const process = startedAtMs?.toString(START_TIME_RADIX) ?? instance;
  return process === undefined ? address : `${address} ${process}`;
}

/** Detects requests that crash the servers that run them (queries of death). */
export class RequestSuspicion {
  /** Time of each loss by fingerprint and server, in monotonic milliseconds. */
  private readonly losses = new lruCache.LRUCache<string, Map<string, number>>({
    max: MAX_FINGERPRINTS,
  });

  private readonly lossEmitter = new emitter.Emitter<suspicionTypes.ISuspicion>();

  /** Fires when this daemon loses a server with a request in flight; shared with peers. */
  public readonly onLoss: types.Event<suspicionTypes.ISuspicion> = this.lossEmitter.event;

  private readonly changedEmitter = new emitter.Emitter<suspicionTypes.ISuspicionChange>();

  /** Fires when this daemon learns of the loss of a further server. */
  public readonly onChanged: types.Event<suspicionTypes.ISuspicionChange> =
    this.changedEmitter.event;

  /** @param serversToRefuse Number of distinct lost servers at which a request is refused. */
  public constructor(
    private readonly clock: types.IClock,
    private readonly serversToRefuse = SERVERS_TO_REFUSE,
  ) {}

  /** Whether no loss is recorded, so that fingerprints need not be computed. */
  public get isEmpty(): boolean {
    return this.losses.size === 0;
  }

  /** Number of requests that are refused. */
  public get suspectCount(): number {
    return [...this.losses.keys()].filter((fingerprint) => this.isSuspect(fingerprint)).length;
  }

  /** All losses that have not expired, as they are reported to peers. */
  public get suspicions(): readonly suspicionTypes.ISuspicion[] {
    return [...this.losses.keys()]
      .map((fingerprint) => this.suspicionOf(fingerprint))
      .filter(({ servers }) => servers.length > 0);
  }

  /** Whether the request must be refused. */
  public isSuspect(fingerprint: string): boolean {
    return this.serversLost(fingerprint).length >= this.serversToRefuse;
  }

  /** Returns the servers whose loss with the request in flight has not expired, the latest last. */
  public serversLost(fingerprint: string): readonly string[] {
    const servers = this.losses.get(fingerprint);
    if (servers === undefined) return [];
    const oldestMs = this.clock.monotonicMs() - SUSPICION_LIFETIME_MS;
    return [...servers]
      .filter(([, lostAtMs]) => lostAtMs > oldestMs)
      .sort(([, left], [, right]) => left - right)
      .map(([server]) => server);
  }

  /** Records that the process `server` was lost while the request was in flight on it. */
  public recordLoss(fingerprint: string, server: string): void {
    this.add(fingerprint, [server], this.clock.monotonicMs(), 'own');
    this.lossEmitter.fire(this.suspicionOf(fingerprint));
  }

  /** Merges losses that a peer observed `ageMs` milliseconds ago. */
  public merge(suspicion: suspicionTypes.ISuspicion, ageMs: number): void {
    const lostAtMs = this.clock.monotonicMs() - ageMs;
    this.add(suspicion.fingerprint, suspicion.servers, lostAtMs, 'peer');
  }

  /** Clears a request that was answered: it was in flight by chance when a server was lost. */
  public recordAnswered(fingerprint: string): void {
    this.losses.delete(fingerprint);
  }

  private suspicionOf(fingerprint: string): suspicionTypes.ISuspicion {
    // More servers than those that decide would not fit into a message to peers.
    const servers = this.serversLost(fingerprint).slice(-this.serversToRefuse);
    return { fingerprint, servers };
  }

  private add(
    fingerprint: string,
    servers: readonly string[],
    lostAtMs: number,
    source: suspicionTypes.ISuspicionChange['source'],
  ): void {
    const knownCount = this.serversLost(fingerprint).length;
    const losses = this.losses.get(fingerprint) ?? new Map<string, number>();
    servers.forEach((server) =>
      losses.set(server, Math.max(losses.get(server) ?? Number.NEGATIVE_INFINITY, lostAtMs)),
    );
    this.losses.set(fingerprint, losses);
    const lost = this.serversLost(fingerprint);
    if (lost.length <= knownCount) return;
    const isSuspect = this.isSuspect(fingerprint);
    this.changedEmitter.fire({ fingerprint, servers: lost, source, isSuspect });
  }
}
