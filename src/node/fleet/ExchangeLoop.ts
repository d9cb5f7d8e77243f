import type * as bunyan from 'bunyan';

import * as gossipAgent from '../../common/membership/GossipAgent';
import type * as types from '../../common/Types';
import type * as peer from '../peer/generated/peer';
import * as messages from './Messages';
import type * as fleetTypes from './Types';

/** Exchanges that wait for a reply. More are not begun, so that silent peers hold no memory. */
const MAX_PENDING = 4;

/** Counts of exchanges since the start. */
export interface IExchangeCounts {
  readonly begun: number;
  readonly failed: number;
  readonly received: number;
}

/** Exchanges with one random peer in each interval, and pushes urgent facts at once. */
export class ExchangeLoop implements types.IDisposable {
  private timer: types.IDisposable | undefined;

  private readonly urgentListener: types.IDisposable;

  private pending = 0;

  private begun = 0;

  private failed = 0;

  private received = 0;

  private receivedTotal = 0;

  public constructor(
    private readonly agent: gossipAgent.GossipAgent,
    private readonly distribution: fleetTypes.IVersionExchange,
    private readonly peers: fleetTypes.IPeerSender,
    private readonly logger: bunyan,
    private readonly clock: types.IClock,
  ) {
    // The facts of one message arrive one by one; they are pushed together, one step later.
    this.urgentListener = agent.onUrgent(() => queueMicrotask(() => this.pushNow()));
  }

  public get counts(): IExchangeCounts {
    return { begun: this.begun, failed: this.failed, received: this.received };
  }

  /** Encoded bytes of all messages received. */
  public get receivedBytes(): number {
    return this.receivedTotal;
  }

  /** Begins the exchanges. Calling it again has no effect. */
  public start(): void {
    if (this.timer === undefined) this.arm();
  }

  /** Exchanges with a random peer outside the interval. */
  public exchangeNow(): void {
    if (this.pending >= MAX_PENDING) return;
    this.send(this.agent.beginExchange());
  }

  /** Sends what must not wait for the interval. */
  public pushNow(): void {
    this.send(this.agent.takeUrgentMessage());
  }

  /** Tells `targets` the state of this daemon. */
  public notify(targets: readonly string[]): void {
    if (targets.length === 0) return;
    const message = this.agent.composeNotice(targets.length);
    targets.forEach((target) => {
      this.exchange(target, message).catch((error: Error) => this.logFailure(error));
    });
  }

  /** Exchanges with one peer, and resolves when its table, if newer, was fetched. */
  public async ask(address: string): Promise<void> {
    await this.exchange(address, this.agent.composeExchange());
  }

  /** Takes in the message of a peer and returns the reply. */
  public receive(request: peer.ExchangeRequest): peer.ExchangeReply {
    this.received += 1;
    const message = this.decode(request);
    if (message === undefined) return messages.toWire(this.agent.emptyMessage);
    const reply = this.agent.receive(message);
    this.compare(message).catch((error: Error) => this.logFailure(error));
    return messages.toWire(reply);
  }

  public dispose(): void {
    this.timer?.dispose();
    this.urgentListener.dispose();
  }

  private arm(): void {
    this.timer = this.clock.setTimer(gossipAgent.EXCHANGE_INTERVAL_MS, () => {
      this.exchangeNow();
      this.arm();
    });
  }

  private send(outgoing: gossipAgent.IOutgoingMessage | undefined): void {
    outgoing?.targets.forEach((target) => {
      this.exchange(target, outgoing.message).catch((error: Error) => this.logFailure(error));
    });
  }

  private async exchange(address: string, message: gossipAgent.IExchangeMessage): Promise<void> {
    this.begun += 1;
    this.pending += 1;
    const result = await this.peers.exchange(address, messages.toWire(message));
    this.pending -= 1;
    if (!result.ok) {
      this.failed += 1;
      this.logger.debug({ address, err: result.error }, 'peer not reached');
      return;
    }
    const reply = this.decode(result.value);
    if (reply === undefined) return;
    this.agent.merge(reply);
    await this.compare(reply);
  }

  private decode(
    received: Parameters<typeof messages.fromWire>[0],
  ): gossipAgent.IExchangeMessage | undefined {
    const message = messages.fromWire(received);
    if (message !== undefined) this.receivedTotal += messages.sizeOf(message);
    return message;
  }

  private compare(message: gossipAgent.IExchangeMessage): Promise<void> {
    const { sender, table } = message;
    return this.distribution.compare(sender.address, table);
  }

  private logFailure(error: Error): void {
    this.logger.warn({ err: error }, 'exchange failed');
  }
}
