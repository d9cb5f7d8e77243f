import type * as tableTypes from '../table/Types';
import type * as types from '../Types';
import type * as probingTypes from './Types';

/** Cooldown of a permit from a reply to its next probe, in milliseconds. */
export const REUSE_AFTER_REPLY_MS = 1_000;
/**
 * Cooldown of a permit after a timeout, in milliseconds. The probe may still arrive, by assumption
 * at most one second after its connection was closed, and the next must arrive at least one second
 * after that.
 */
export const REUSE_AFTER_TIMEOUT_MS = 2_000;
/**
 * Time without probes after a start or a pause, in milliseconds. An earlier process, or a
 * replacement that ran during the pause, may just have used the permits.
 */
export const HOLD_OFF_MS = 2_000;

interface IServiceUsage {
  /** End of the cooldown of each permit whose probe has ended. */
  cooldownEndsMs: number[];
  inFlight: number;
  sent: number;
  timedOut: number;
}

/**
 * This daemon's share of the probe budget. The share depends only on the table, so no partition,
 * restart or membership change can raise the total of the fleet.
 */
export class ProbeBudget {
  private readonly usageByService = new Map<string, IServiceUsage>();

  private table: tableTypes.ITable | undefined;

  private memberCount = 1;

  private holdOffEndMs: number;

  private holdOffReason: 'after-start' | 'after-pause' = 'after-start';

  public constructor(private readonly clock: types.IClock) {
    this.holdOffEndMs = clock.monotonicMs() + HOLD_OFF_MS;
  }

  /** Reason why no probe may be sent now, or undefined. */
  public get stopReason(): probingTypes.ProbeStopReason | undefined {
    if (this.table === undefined) return 'no-table';
    if (this.memberCount > this.table.maxDaemons) return 'too-many-members';
    return this.clock.monotonicMs() < this.holdOffEndMs ? this.holdOffReason : undefined;
  }

  /** Budget usage of each service. */
  public get usage(): readonly probingTypes.IProbeUsage[] {
    const nowMs = this.clock.monotonicMs();
    return [...(this.table?.services.values() ?? [])].map(({ name, probesPerSecond }) => {
      const usage = this.usageByService.get(name);
      return {
        service: name,
        fleetBudget: probesPerSecond,
        share: this.shareOf(name),
        inFlight: usage?.inFlight ?? 0,
        waiting: usage?.cooldownEndsMs.filter((endMs) => endMs > nowMs).length ?? 0,
        sent: usage?.sent ?? 0,
        timedOut: usage?.timedOut ?? 0,
      };
    });
  }

  /** Probes sent since the start, over all services. */
  public get sentTotal(): number {
    return [...this.usageByService.values()].reduce((sum, { sent }) => sum + sent, 0);
  }

  /** Returns the number of permits of this daemon for a service. */
  public shareOf(service: string): number {
    if (this.table === undefined) return 0;
    const budget = this.table.services.get(service)?.probesPerSecond ?? 0;
    return Math.floor(budget / this.table.maxDaemons);
  }

  /** Applies the shares of a new active table. Permits in use stay in use. */
  public applyTable(table: tableTypes.ITable): void {
    this.table = table;
  }

  /** Sets the number of known members, this daemon included. */
  public setMemberCount(count: number): void {
    this.memberCount = count;
  }

  /** Holds off all probes after a pause of the process. */
  public onPaused(): void {
    this.holdOffEndMs = this.clock.monotonicMs() + HOLD_OFF_MS;
    this.holdOffReason = 'after-pause';
  }

  /** Returns whether `take` would return a permit. */
  public canTake(service: string): boolean {
    return this.stopReason === undefined && this.permitsInUse(service) < this.shareOf(service);
  }

  /** Takes a permit if one is free. Its probe must be sent immediately. */
  public take(service: string): probingTypes.IProbePermit | undefined {
    if (!this.canTake(service)) return undefined;
    const usage = this.usageOf(service);
    usage.sent += 1;
    usage.inFlight += 1;
    let isEnded = false;
    const end = (delayMs: number): boolean => {
      if (isEnded) return false;
      isEnded = true;
      const nowMs = this.clock.monotonicMs();
      usage.inFlight -= 1;
      usage.cooldownEndsMs = usage.cooldownEndsMs.filter((endMs) => endMs > nowMs);
      usage.cooldownEndsMs.push(nowMs + delayMs);
      return true;
    };
    return {
      service,
      replied: () => {
        end(REUSE_AFTER_REPLY_MS);
      },
      timedOut: () => {
        if (end(REUSE_AFTER_TIMEOUT_MS)) usage.timedOut += 1;
      },
    };
  }

  private permitsInUse(service: string): number {
    const usage = this.usageByService.get(service);
    if (usage === undefined) return 0;
    const nowMs = this.clock.monotonicMs();
    return usage.inFlight + usage.cooldownEndsMs.filter((endMs) => endMs > nowMs).length;
  }

  private usageOf(service: string): IServiceUsage {
    const existing = this.usageByService.get(service);
    if (existing !== undefined) return existing;
    const usage = { cooldownEndsMs: [], inFlight: 0, sent: 0, timedOut: 0 };
    this.usageByService.set(service, usage);
    return usage;
  }
}
