import type * as serverState from '../policy/ServerState';
import type * as types from '../Types';
import * as secondSendDelay from './SecondSendDelay';
import type * as serviceBalancer from './ServiceBalancer';
import type * as callTypes from './Types';

/** Interval at which a second server is looked for, in milliseconds: servers are slow for longer. */
const INTERVAL_MS = 25;

/** Maximum number of times that a second server is looked for. Each costs up to six checks. */
const MAX_SEARCHES = 3;

/** Cost up to which a server gets a second attempt: idle and at normal speed. */
const ACCEPTABLE_COST = 1.25;

/** The call for which a second server is looked for. */
export interface ISecondSendListener {
  /** Whether the call still waits for its first attempt, and may be sent to a further server. */
  maySend(): boolean;
  send(server: serverState.ServerState, cost: number): void;
}

/**
 * Sends a call to a second server if the first one is expected to answer after the latency objective,
 * and the second one can still answer before. The second server is checked.
 */
export class SecondSend implements types.IDisposable {
  private timer: types.IDisposable | undefined;

  private selection: types.IDisposable | undefined;

  private searches = 0;

  private ended = false;

  /** @param excluded Addresses of the servers that have been sent the call. */
  public constructor(
    private readonly call: callTypes.ICall,
    private readonly excluded: ReadonlySet<string>,
    private readonly first: secondSendDelay.IFirstAttempt,
    private readonly balancer: serviceBalancer.ServiceBalancer,
    private readonly clock: types.IClock,
    private readonly listener: ISecondSendListener,
  ) {}

  /** Begins to wait for the moment at which the second server is looked for. */
  public begin(): void {
    const delayMs = secondSendDelay.delayOf(this.first);
    if (delayMs === undefined) return;
    const latestAtMs = this.clock.monotonicMs() + secondSendDelay.latestMs(this.first);
    this.schedule(delayMs, latestAtMs);
  }

  public dispose(): void {
    this.ended = true;
    this.timer?.dispose();
    this.selection?.dispose();
  }

  private schedule(delayMs: number, latestAtMs: number): void {
    if (this.ended || this.searches >= MAX_SEARCHES) return;
    if (this.clock.monotonicMs() + delayMs > latestAtMs) return;
    this.timer = this.clock.setTimer(delayMs, () => this.search(latestAtMs));
  }

  private search(latestAtMs: number): void {
    if (this.ended || !this.listener.maySend() || !this.balancer.hasHedgePermit) return;
    this.searches += 1;
    this.selection = this.balancer.checkOnce(this.excluded, this.call, (choice) => {
      if (this.ended || !this.listener.maySend()) return;
      const isInTime = this.clock.monotonicMs() <= latestAtMs;
      const isIdle = choice !== undefined && choice.cost <= ACCEPTABLE_COST;
      if (!isIdle || !isInTime) this.schedule(INTERVAL_MS, latestAtMs);
      else if (this.balancer.takeHedgePermit()) this.listener.send(choice.server, choice.cost);
    });
  }
}
