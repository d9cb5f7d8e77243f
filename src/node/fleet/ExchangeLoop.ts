import type * as bunyan from 'bunyan';

import * as gossipAgent from '../../common/membership/GossipAgent';
import type * as types from '../../common/Types';
import type * as peer from '../peer/generated/peer';
import * as exchangeMessages from './ExchangeMessages';
import type * as fleetTypes from './Types';

/** Limit on pending exchanges, at which no periodic one begins. Bounds memory if peers hang. */
const MAX_PENDING = 4;

/** Counts of exchanges since the start. */
export interface IExchangeCounts {
  readonly begun: number;
  readonly failed: number;
  readonly received: number;
}

/** Gossips with one random peer in each interval, and pushes urgent facts immediately. */
export class ExchangeLoop implements types.IDisposable {
  private timer: types.IDisposable | undefined;

  private readonly urgentListener: types.IDisposable;

  private pending = 0;

  private begun = 0;

  private failed = 0;

  private received = 0;

  private receivedByteCount = 0;

  public constructor(
    private readonly agent: gossipAgent.GossipAgent,
    private readonly antiEntropy: fleetTypes.IPeerSync,
    private readonly peers: Pick<fleetTypes.IPeerSender, 'exchange'>,
    private readonly logger: bunyan,
    private readonly clock: types.IClock,
  ) {
    // The facts of one message are added one by one; the microtask pushes them together.
    this.urgentListener = agent.onUrgent(() => queueMicrotask(() => this.pushUrgent()));
  }

  public get counts(): IExchangeCounts {
    return { begun: this.begun, failed: this.failed, received: this.received };
  }

  /** Total encoded size of all messages received, in bytes. */
  public get receivedBytes(): number {
    return this.receivedByteCount;
  }

  /** Starts the periodic exchanges. Further calls have no effect. */
  public start(): void {
    if (this.timer === undefined) this.scheduleExchange();
  }

  /** Exchanges with a random peer immediately, unless too many exchanges are pending. */
  public exchangeNow(): void {
    if (this.pending >= MAX_PENDING) return;
    this.contain(() => this.send(this.agent.beginExchange()));
  }

  /** Sends pending urgent facts, or that this daemon is leaving, to a few peers immediately. */
  public pushUrgent(): void {
    this.contain(() => this.send(this.agent.takeUrgentMessage()));
  }

  /** Sends the state of this daemon to `targets`, outside the limit on pending exchanges. */
  public notify(targets: readonly string[]): void {
    targets.forEach((target) => {
      this.deliver(target, this.agent.composeNotice(target)).catch((error: Error) =>
        this.logFailure(error),
      );
    });
  }

  /** Exchanges with one peer. Resolves when the exchange and any fetch of its table have ended. */
  public async exchangeWith(address: string): Promise<void> {
    await this.exchange(address, this.agent.composeExchange());
  }

  /** Processes a message from a peer and returns the reply. */
  public receive(request: peer.ExchangeRequest): peer.ExchangeReply {
    this.received += 1;
    const message = this.decode(request);
    const reply = message === undefined ? undefined : this.contain(() => this.reply(message));
    return exchangeMessages.toWire(reply ?? this.agent.emptyMessage);
  }

  public dispose(): void {
    this.timer?.dispose();
    this.urgentListener.dispose();
  }

  private reply(message: gossipAgent.IExchangeMessage): gossipAgent.IExchangeMessage {
    const reply = this.agent.receive(message);
    this.syncWithSender(message).catch((error: Error) => this.logFailure(error));
    return reply;
  }

  private scheduleExchange(): void {
    this.timer = this.clock.setTimer(gossipAgent.EXCHANGE_INTERVAL_MS, () => {
      this.exchangeNow();
      this.scheduleExchange();
    });
  }

  /** Runs a step whose error concerns one exchange only, and must not end the process. */
  private contain<T>(step: () => T): T | undefined {
    try {
      return step();
    } catch (error) {
      this.logFailure(error as Error);
      return undefined;
    }
  }

  private send(outgoing: gossipAgent.IOutgoingMessage | undefined): void {
    outgoing?.targets.forEach((target) => {
      this.exchange(target, outgoing.message).catch((error: Error) => this.logFailure(error));
    });
  }

  private async exchange(address: string, message: gossipAgent.IExchangeMessage): Promise<void> {
    this.pending += 1;
    try {
      await this.deliver(address, message);
    } finally {
      this.pending -= 1;
    }
  }

  private async deliver(address: string, message: gossipAgent.IExchangeMessage): Promise<void> {
    this.begun += 1;
    const result = await this.peers.exchange(address, exchangeMessages.toWire(message));
    if (!result.ok) {
      this.failed += 1;
      this.logger.debug({ address, err: result.error }, 'failed to reach peer');
      return;
    }
    const reply = this.decode(result.value);
    if (reply === undefined) return;
    this.agent.merge(reply);
    await this.syncWithSender(reply);
  }

  private decode(
    received: Parameters<typeof exchangeMessages.fromWire>[0],
  ): gossipAgent.IExchangeMessage | undefined {
    const message = exchangeMessages.fromWire(received);
    if (message !== undefined) this.receivedByteCount += exchangeMessages.encodedSize(message);
    if (message?.members.length !== received.members.length) {
      const { sender } = received;
      this.logger.warn({ sender }, 'records in a message of a peer cannot be used');
    }
    return message;
  }

  private syncWithSender(message: gossipAgent.IExchangeMessage): Promise<void> {
    const { sender, table } = message;
    return this.antiEntropy.syncFrom(sender.address, table);
  }

  private logFailure(error: Error): void {
    this.logger.warn({ err: error }, 'exchange failed');
  }
}
