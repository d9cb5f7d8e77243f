import * as emitter from '../Emitter';
import type * as types from '../Types';
import * as silence from './Silence';
import type * as reachTypes from './Types';

/** Interval at which the silence of servers is evaluated while checks are unanswered, in milliseconds. */
const EVALUATION_INTERVAL_MS = 100;

/** Delay of a timer from which on this process, not the servers, may be what is slow, in milliseconds. */
const MAX_TIMER_DELAY_MS = 50;

/** Time within which a reply shows that this daemon still reaches servers, in milliseconds. */
const CONFIRMATION_MS = 1_000;

/** Maximum number of callbacks that wait for a reply. */
const MAX_WAITING = 1_000;

/** A server, as far as its reach is concerned. */
export interface IReachedServer {
  readonly service: string;
  readonly address: string;
}

interface IWaiting {
  readonly callback: () => void;
  /** Monotonic time. */
  readonly expiresMs: number;
}

interface IGroup {
  /** Undefined for the group of all servers. */
  readonly service: string | undefined;
  readonly silence: silence.Silence;
}

/**
 * Decides which services this daemon reaches. A service is out of reach once none of its servers has
 * replied for a while although several were asked, and all services are if this holds for the servers
 * of all services together. Only checks count, since they are answered at once: a request may take
 * long on a server that is well.
 */
export class ServerReach implements types.IDisposable {
  private readonly changedEmitter = new emitter.Emitter<reachTypes.IReachChange>();

  private readonly all: IGroup;

  private readonly groups = new Map<string, IGroup>();

  private serverCounts: ReadonlyMap<string, number> = new Map();

  private timer: types.IDisposable | undefined;

  private waiting: IWaiting[] = [];

  /** Fires when a service, or all of them, come into reach or get out of it. */
  public readonly onChanged: types.Event<reachTypes.IReachChange> = this.changedEmitter.event;

  public constructor(private readonly clock: types.IClock) {
    this.all = { service: undefined, silence: new silence.Silence(clock.monotonicMs()) };
  }

  public isReachable(service: string): boolean {
    if (!this.all.silence.isReachable) return false;
    return this.groups.get(service)?.silence.isReachable ?? true;
  }

  /** Names of the services that are out of reach. */
  public get lostServices(): readonly string[] {
    return [...this.serverCounts.keys()].filter((service) => !this.isReachable(service));
  }

  /** Sets the servers that this daemon uses. */
  public setServers(servers: readonly IReachedServer[]): void {
    const counts = new Map<string, number>();
    servers.forEach(({ service }) => counts.set(service, (counts.get(service) ?? 0) + 1));
    this.serverCounts = counts;
    [...this.groups.keys()]
      .filter((service) => !counts.has(service))
      .forEach((service) => this.groups.delete(service));
    const addresses = new Set(servers.map(({ address }) => address));
    this.allGroups().forEach((group) => group.silence.retain(addresses));
  }

  /** Records that a server was sent a check. */
  public recordAsked({ service, address }: IReachedServer): void {
    const nowMs = this.clock.monotonicMs();
    this.groupsOf(service).forEach((group) => group.silence.recordAsked(address, nowMs));
    this.schedule();
  }

  /** Records that no connection to a server could be opened, or that it was lost without a reply. */
  public recordFailure({ service, address }: IReachedServer): void {
    this.groupsOf(service).forEach((group) => group.silence.recordFailure(address));
    this.schedule();
  }

  /**
   * Calls back as soon as any server replies. Without a reply within a second there is no call, since
   * what happened to one server may then be due to the network of this daemon.
   */
  public onceHeard(callback: () => void): void {
    if (this.waiting.length >= MAX_WAITING) return;
    this.waiting.push({ callback, expiresMs: this.clock.monotonicMs() + CONFIRMATION_MS });
  }

  /** Records any reply of a server. */
  public recordReply({ service }: IReachedServer): void {
    const nowMs = this.clock.monotonicMs();
    const heard = this.waiting;
    this.waiting = [];
    heard.filter(({ expiresMs }) => nowMs < expiresMs).forEach(({ callback }) => callback());
    this.groupsOf(service).forEach((group) =>
      this.update(group, () => group.silence.recordReply(nowMs)),
    );
  }

  /** Discards what was observed before a pause of the process. */
  public resetAfterPause(): void {
    const nowMs = this.clock.monotonicMs();
    this.allGroups().forEach((group) => group.silence.restart(nowMs));
  }

  public dispose(): void {
    this.timer?.dispose();
  }

  private allGroups(): readonly IGroup[] {
    return [this.all, ...this.groups.values()];
  }

  private groupsOf(service: string): readonly IGroup[] {
    const known = this.groups.get(service);
    if (known !== undefined) return [this.all, known];
    const group = { service, silence: new silence.Silence(this.clock.monotonicMs()) };
    this.groups.set(service, group);
    return [this.all, group];
  }

  private schedule(): void {
    if (this.timer !== undefined) return;
    const dueMs = this.clock.monotonicMs() + EVALUATION_INTERVAL_MS;
    this.timer = this.clock.setTimer(EVALUATION_INTERVAL_MS, () => this.evaluate(dueMs));
  }

  private evaluate(dueMs: number): void {
    this.timer = undefined;
    if (this.clock.monotonicMs() - dueMs > MAX_TIMER_DELAY_MS) this.resetAfterPause();
    this.allGroups().forEach((group) =>
      this.update(group, (nowMs) => group.silence.evaluate(nowMs, this.countServers(group))),
    );
    if (this.allGroups().some((group) => group.silence.isWaiting)) this.schedule();
  }

  private countServers({ service }: IGroup): number {
    if (service !== undefined) return this.serverCounts.get(service) ?? 0;
    return [...this.serverCounts.values()].reduce((sum, count) => sum + count, 0);
  }

  private update(group: IGroup, change: (nowMs: number) => void): void {
    const nowMs = this.clock.monotonicMs();
    const before = {
      isReachable: group.silence.isReachable,
      silentMs: group.silence.silentMs(nowMs),
      silentServers: group.silence.countSilent(nowMs),
    };
    change(nowMs);
    const { isReachable } = group.silence;
    if (isReachable === before.isReachable) return;
    const { silentMs, silentServers } = before;
    this.changedEmitter.fire({ service: group.service, isReachable, silentMs, silentServers });
  }
}
