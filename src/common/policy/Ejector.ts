import * as emitter from '../Emitter';
import type * as types from '../Types';

/** Failures in a row after which a server is ejected. */
const CONSECUTIVE_FAILURES_TO_EJECT = 3;

const BASE_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 30_000;

/** Time after a return in which the share of work grows to the normal one, in milliseconds. */
const WARM_UP_MS = 10_000;

/** Share of the normal load at the start of the warm-up. */
const MIN_WARMTH = 0.1;

/** A server was taken out of the choice. */
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
 * Takes servers that keep failing out of the choice for a time that doubles with each ejection.
 * At most half of the servers are out at once: when most look bad, the observation is more
 * likely wrong than the servers.
 */
export class Ejector {
  private readonly entries = new Map<string, IEntry>();

  private readonly ejectedEmitter = new emitter.Emitter<IEjection>();

  private serverCount = 0;

  /** Fires when this daemon ejects a server on failures that it saw itself. */
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

  /** Share of the normal load that a server gets, in (0, 1]. */
  public warmthOf(address: string): number {
    const entry = this.entries.get(address);
    if (entry === undefined) return 1;
    const warmMs = this.clock.monotonicMs() - entry.warmUpStartMs;
    if (warmMs >= WARM_UP_MS) return 1;
    return Math.max(MIN_WARMTH, warmMs / WARM_UP_MS);
  }

  /** Starts the warm-up of a server that is new or was away. */
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
   * Takes the report of a peer that the server refuses work. One failure seen here confirms it
   * and ejects the server; without one the report has no effect.
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
      // One failure after the return ejects the server again.
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
