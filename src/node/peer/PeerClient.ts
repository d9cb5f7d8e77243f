import * as grpc from '@grpc/grpc-js';

import type * as callTypes from '../../common/call/Types';
import type * as types from '../../common/Types';
import type * as forwardTypes from '../forwarding/Types';
import * as peer from './generated/peer';

const CALL_TIMEOUT_MS = 1_000;

/** Time for a connection to a peer to open before a call is forwarded, in milliseconds. */
const FORWARD_CONNECT_TIMEOUT_MS = 300;

/** Maximum size of a message, in bytes: the body of a forwarded call, or of its answer. */
export const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

const CHANNEL_OPTIONS: grpc.ChannelOptions = {
  // The default backoff would delay reconnecting after a restart or a partition by minutes.
  'grpc.initial_reconnect_backoff_ms': 500,
  'grpc.max_reconnect_backoff_ms': 2_000,
  // With the global subchannel pool, a new client would reuse the connection of the old one.
  'grpc.use_local_subchannel_pool': 1,
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
};

/**
 * Forwarded calls last for as long as their servers need, so that only a ping tells a peer that has
 * fallen silent. They have connections of their own, since gRPC would send a ping with most
 * exchanges.
 */
const FORWARD_CHANNEL_OPTIONS: grpc.ChannelOptions = {
  ...CHANNEL_OPTIONS,
  'grpc.keepalive_time_ms': 500,
  'grpc.keepalive_timeout_ms': 500,
};

type Reply<T> = types.Result<T, grpc.ServiceError>;
type Method<TRequest, TReply> = (
  request: TRequest,
  metadata: grpc.Metadata,
  options: Partial<grpc.CallOptions>,
  callback: (error: grpc.ServiceError | null, reply: TReply) => void,
) => grpc.ClientUnaryCall;

/** Sends messages to peers. */
export class PeerClient implements types.IDisposable, forwardTypes.IForwardPeers {
  private readonly clients = new Map<string, peer.PeerClient>();

  private readonly forwardClients = new Map<string, peer.PeerClient>();

  /** @param timeoutMs Deadline of each call, in milliseconds. */
  public constructor(private readonly timeoutMs = CALL_TIMEOUT_MS) {}

  public async exchange(
    address: string,
    request: peer.ExchangeRequest,
  ): Promise<Reply<peer.ExchangeReply>> {
    const client = this.clientOf(address);
    const reply = await this.call(client.exchange.bind(client), request);
    // The connection may have stopped responding permanently although a new one would work.
    const timedOut = !reply.ok && reply.error.code === grpc.status.DEADLINE_EXCEEDED;
    if (timedOut && this.clients.get(address) === client) this.disconnect(address);
    return reply;
  }

  public fetchTable(
    address: string,
    request: peer.FetchTableRequest,
  ): Promise<Reply<peer.FetchTableReply>> {
    const client = this.clientOf(address);
    return this.call(client.fetchTable.bind(client), request);
  }

  public fetchMembers(address: string): Promise<Reply<peer.FetchMembersReply>> {
    const client = this.clientOf(address);
    return this.call(client.fetchMembers.bind(client), {});
  }

  public claimKey(
    address: string,
    request: peer.ClaimKeyRequest,
  ): Promise<Reply<peer.ClaimKeyReply>> {
    const client = this.clientOf(address);
    return this.call(client.claimKey.bind(client), request);
  }

  public completeKey(
    address: string,
    request: peer.CompleteKeyRequest,
  ): Promise<Reply<peer.CompleteKeyReply>> {
    const client = this.clientOf(address);
    return this.call(client.completeKey.bind(client), request);
  }

  public handOverKeys(
    address: string,
    request: peer.HandOverKeysRequest,
  ): Promise<Reply<peer.HandOverKeysReply>> {
    const client = this.clientOf(address);
    return this.call(client.handOverKeys.bind(client), request);
  }

  /**
   * Sends a forwarded call. It has no timeout of its own, since its sender cancels it at the deadline
   * of the call, but it is lost if the peer answers no ping.
   */
  public forward(
    address: string,
    request: peer.ForwardRequest,
    onReply: (reply: forwardTypes.ForwardTransmission) => void,
  ): callTypes.IAttempt {
    const client = PeerClient.clientIn(this.forwardClients, address, FORWARD_CHANNEL_OPTIONS);
    let message: grpc.ClientUnaryCall | undefined;
    let isCancelled = false;
    client.waitForReady(Date.now() + FORWARD_CONNECT_TIMEOUT_MS, (notReady) => {
      if (isCancelled) return;
      if (notReady !== undefined) {
        onReply({ kind: 'not-sent', detail: notReady.message });
        return;
      }
      message = client.forward(request, (error, reply) => {
        if (isCancelled) return;
        onReply(
          error === null
            ? { kind: 'reply', reply }
            : { kind: 'lost', detail: `${grpc.status[error.code]}: ${error.details}` },
        );
      });
    });
    return {
      cancel: () => {
        isCancelled = true;
        message?.cancel();
      },
    };
  }

  /** Closes the connections to a peer. A later message opens a new one. */
  public disconnect(address: string): void {
    [this.clients, this.forwardClients].forEach((clients) => {
      clients.get(address)?.close();
      clients.delete(address);
    });
  }

  public dispose(): void {
    [this.clients, this.forwardClients].forEach((clients) => {
      clients.forEach((client) => client.close());
      clients.clear();
    });
  }

  private clientOf(address: string): peer.PeerClient {
    return PeerClient.clientIn(this.clients, address, CHANNEL_OPTIONS);
  }

  private static clientIn(
    clients: Map<string, peer.PeerClient>,
    address: string,
    options: grpc.ChannelOptions,
  ): peer.PeerClient {
    const known = clients.get(address);
    if (known !== undefined) return known;
    const client = new peer.PeerClient(address, grpc.credentials.createInsecure(), options);
    clients.set(address, client);
    return client;
  }

  private call<TRequest, TReply>(
    method: Method<TRequest, TReply>,
    request: TRequest,
  ): Promise<Reply<TReply>> {
    const options = { deadline: Date.now() + this.timeoutMs };
    return new Promise((resolve) => {
      method(request, new grpc.Metadata(), options, (error, reply) => {
        if (error === null) resolve({ ok: true, value: reply });
        else resolve({ ok: false, error });
      });
    });
  }
}
