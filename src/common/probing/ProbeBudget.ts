import type * as tableTypes from '../table/Types';
import type * as types from '../Types';
import type * as probingTypes from './Types';

/** The next probe of a permit is sent no sooner than this after the reply to the last. */
export const AFTER_REPLY_MS = 1_000;
/**
 * A probe that timed out may still arrive, by assumption at most one second after its
 * connection was closed. The next must arrive at least one second after that.
 */
export const AFTER_TIMEOUT_MS = 2_000;
/** An earlier process, or a replacement that ran during a pause, may just have used the permits. */
export const WITHHELD_MS = 2_000;

interface IUse {
  /** One entry for each permit in use: the time at which it is free again. */
  busyUntilMs: number[];
  inFlight: number;
  sent: number;
  timedOut: number;
}

/**
 * This daemon's share of the measuring budget. The share depends only on the table, so no
 * partition, restart or membership change can raise the total of the fleet.
 */
export class ProbeBudget {
  private readonly uses = new Map<string, IUse>();

  private table: tableTypes.ITable | undefined;

  private memberCount = 1;

  private withheldUntilMs: number;

  private withheldFor: 'after-start' | 'after-pause' = 'after-start';

  public constructor(private readonly clock: types.IClock) {
    this.withheldUntilMs = clock.monotonicMs() + WITHHELD_MS;
  }

  /** Why no probe may be sent now, or undefined. */
  public get stop(): probingTypes.ProbeStop | undefined {
    if (this.table === undefined) return 'no-table';
    if (this.memberCount > this.table.maxDaemons) return 'too-many-members';
    return this.clock.monotonicMs() < this.withheldUntilMs ? this.withheldFor : undefined;
  }

  /** What each service's budget is spent on. */
  public get report(): readonly probingTypes.IProbeUse[] {
    const nowMs = this.clock.monotonicMs();
    return [...(this.table?.services.values() ?? [])].map(({ name, probesPerSecond }) => {
      const use = this.uses.get(name);
      return {
        service: name,
        fleetBudget: probesPerSecond,
        share: this.shareOf(name),
        inFlight: use?.inFlight ?? 0,
        waiting: use?.busyUntilMs.filter((untilMs) => untilMs > nowMs).length ?? 0,
        sent: use?.sent ?? 0,
        timedOut: use?.timedOut ?? 0,
      };
    });
  }

  /** Probes sent since the start, over all services. */
  public get sentTotal(): number {
    return [...this.uses.values()].reduce((sum, { sent }) => sum + sent, 0);
  }

  /** Permits of this daemon for a service. */
  public shareOf(service: string): number {
    if (this.table === undefined) return 0;
    const budget = this.table.services.get(service)?.probesPerSecond ?? 0;
    return Math.floor(budget / this.table.maxDaemons);
  }

  /** Takes the shares from a table that came into force. Permits in use stay in use. */
  public applyTable(table: tableTypes.ITable): void {
    this.table = table;
  }

  /** Takes the number of members known, this daemon included. */
  public setMemberCount(count: number): void {
    this.memberCount = count;
  }

  /** Tells that the process did not run for a while. */
  public onPaused(): void {
    this.withheldUntilMs = this.clock.monotonicMs() + WITHHELD_MS;
    this.withheldFor = 'after-pause';
  }

  /** Whether `take` would return a permit. */
  public canTake(service: string): boolean {
    return this.stop === undefined && this.busyCount(service) < this.shareOf(service);
  }

  /** Takes a permit, if one is free. Its probe must be sent at once. */
  public take(service: string): probingTypes.IProbePermit | undefined {
    if (!this.canTake(service)) return undefined;
    const use = this.useOf(service);
    use.sent += 1;
    use.inFlight += 1;
    let isEnded = false;
    const end = (delayMs: number): boolean => {
      if (isEnded) return false;
      isEnded = true;
      const nowMs = this.clock.monotonicMs();
      use.inFlight -= 1;
      use.busyUntilMs = use.busyUntilMs.filter((untilMs) => untilMs > nowMs);
      use.busyUntilMs.push(nowMs + delayMs);
      return true;
    };
    return {
      service,
      replied: () => {
        end(AFTER_REPLY_MS);
      },
      timedOut: () => {
        if (end(AFTER_TIMEOUT_MS)) use.timedOut += 1;
      },
    };
  }

  private busyCount(service: string): number {
    const use = this.uses.get(service);
    if (use === undefined) return 0;
    const nowMs = this.clock.monotonicMs();
    return use.inFlight + use.busyUntilMs.filter((untilMs) => untilMs > nowMs).length;
  }

  private useOf(service: string): IUse {
    const known = this.uses.get(service);
    if (known !== undefined) return known;
    const use = { busyUntilMs: [], inFlight: 0, sent: 0, timedOut: 0 };
    this.uses.set(service, use);
    return use;
  }
}
