import * as emitter from '../Emitter';
import type * as types from '../Types';

/** Number of consecutive failures after which a server is ejected. */
const CONSECUTIVE_FAILURES_TO_EJECT = 3;

const BASE_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 30_000;

/** Length of the slow start, in which the load of a server rises to normal, in milliseconds. */
const WARM_UP_MS = 10_000;

/** Fraction of the normal load at the beginning of the slow start. */
const MIN_WARMTH = 0.1;

/** Ejection of a server from load balancing. */
export interface IEjection {
  readonly address: string;
  readonly durationMs: number;
}

interface IEntry {
  consecutiveFailures: number;
  ejections: number;
  ejectedUntilMs: number;
  warmUpStartMs: number;
}

/**
 * Ejects servers that keep failing (outlier ejection), for a time that doubles with each ejection.
 * At most half of the servers are ejected at once: when most appear to fail, the observation is
 * more likely wrong than the servers.
 */
export class Ejector {
  private readonly entries = new Map<string, IEntry>();

  private readonly ejectedEmitter = new emitter.Emitter<IEjection>();

  private serverCount = 0;

  /** Fires when this daemon ejects a server because of failures that it observed itself. */
  public readonly onEjected: types.Event<IEjection> = this.ejectedEmitter.event;

  public constructor(private readonly clock: types.IClock) {}

  public setServers(addresses: readonly string[]): void {
    const listed = new Set(addresses);
    [...this.entries.keys()]
      .filter((address) => !listed.has(address))
      .forEach((address) => this.entries.delete(address));
    this.serverCount = addresses.length;
  }

  public isEjected(address: string): boolean {
    const entry = this.entries.get(address);
    return entry !== undefined && entry.ejectedUntilMs > this.clock.monotonicMs();
  }

  /**
   * Returns the fraction of the normal load intended for a server, in (0, 1]. It is 1 unless a slow
   * start is in progress or follows the current ejection.
   */
  public warmthOf(address: string): number {
    const entry = this.entries.get(address);
    if (entry === undefined) return 1;
    const elapsedMs = this.clock.monotonicMs() - entry.warmUpStartMs;
    if (elapsedMs >= WARM_UP_MS) return 1;
    return Math.max(MIN_WARMTH, elapsedMs / WARM_UP_MS);
  }

  /** Begins the slow start of a server that is new or has returned. */
  public startWarmUp(address: string): void {
    this.entryOf(address).warmUpStartMs = this.clock.monotonicMs();
  }

  public recordSuccess(address: string): void {
    const entry = this.entries.get(address);
    if (entry === undefined) return;
    entry.consecutiveFailures = 0;
    const nowMs = this.clock.monotonicMs();
    if (nowMs - entry.warmUpStartMs >= WARM_UP_MS) this.entries.delete(address);
  }

  public recordFailure(address: string): void {
    const entry = this.entryOf(address);
    entry.consecutiveFailures += 1;
    if (entry.consecutiveFailures < CONSECUTIVE_FAILURES_TO_EJECT || this.isEjected(address))
      return;
    if (this.countEjected() + 1 > this.serverCount / 2) return;
    this.eject(address, entry);
  }

  /**
   * Records a peer's report that the server refuses work. A single failure observed by this daemon
   * then ejects the server; without one the report has no effect.
   */
  public recordPeerReport(address: string): void {
    const entry = this.entryOf(address);
    entry.consecutiveFailures = Math.max(
      entry.consecutiveFailures,
      CONSECUTIVE_FAILURES_TO_EJECT - 1,
    );
  }

  private eject(address: string, entry: IEntry): void {
    const nowMs = this.clock.monotonicMs();
    const durationMs = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** entry.ejections);
    Object.assign(entry, {
      ejectedUntilMs: nowMs + durationMs,
      ejections: entry.ejections + 1,
      // A single failure after the return ejects the server again.
      consecutiveFailures: CONSECUTIVE_FAILURES_TO_EJECT - 1,
      warmUpStartMs: nowMs + durationMs,
    });
    this.ejectedEmitter.fire({ address, durationMs });
  }

  private countEjected(): number {
    return [...this.entries.keys()].filter((address) => this.isEjected(address)).length;
  }

  private entryOf(address: string): IEntry {
    const known = this.entries.get(address);
    if (known !== undefined) return known;
    const entry = {
      consecutiveFailures: 0,
      ejections: 0,
      ejectedUntilMs: Number.NEGATIVE_INFINITY,
      warmUpStartMs: Number.NEGATIVE_INFINITY,
    };
    this.entries.set(address, entry);
    return entry;
  }
}
