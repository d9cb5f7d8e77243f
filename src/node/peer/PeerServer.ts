import type * as net from 'node:net';

import * as grpc from '@grpc/grpc-js';

import type * as forwardTypes from '../forwarding/Types';
import type * as keyTypes from '../keys/Types';
import * as peer from './generated/peer';
import * as peerClient from './PeerClient';

/** Handles the messages of peers about the fleet. */
export interface IPeerHandler {
  exchange(request: peer.ExchangeRequest): peer.ExchangeReply;
  fetchTable(request: peer.FetchTableRequest): Promise<peer.FetchTableReply>;
  /** Absent where peers learn the members from exchanges alone. */
  fetchMembers?(): Promise<peer.FetchMembersReply>;
}

function replyWhenDone<TReply>(reply: Promise<TReply>, callback: grpc.sendUnaryData<TReply>): void {
  reply.then(
    (value) => callback(null, value),
    (error: Error) => callback({ code: grpc.status.INTERNAL, details: error.message }),
  );
}

function toUnaryHandler<TRequest, TReply>(
  reply: ((request: TRequest) => TReply) | undefined,
): grpc.handleUnaryCall<TRequest, TReply> {
  return (call, callback) => {
    if (reply === undefined) callback({ code: grpc.status.UNIMPLEMENTED });
    else callback(null, reply(call.request));
  };
}

function toForwardHandler(
  calls: forwardTypes.IForwardHandler | undefined,
): grpc.handleUnaryCall<peer.ForwardRequest, peer.ForwardReply> {
  return (message, callback) => {
    if (calls === undefined) {
      callback({ code: grpc.status.UNIMPLEMENTED });
      return;
    }
    const attempt = calls.forward(message.request, (reply) => callback(null, reply));
    message.once('cancelled', () => attempt.cancel());
  };
}

/** Receives the messages of peers. */
export class PeerServer {
  private readonly server = new grpc.Server({
    'grpc.max_receive_message_length': peerClient.MAX_MESSAGE_BYTES,
  });

  private readonly injector = this.server.createConnectionInjector(
    grpc.ServerCredentials.createInsecure(),
  );

  /**
   * Messages whose handler is absent fail as unimplemented.
   * @param keys Handler of messages about request keys.
   * @param calls Handler of forwarded calls.
   */
  public constructor(
    handler: IPeerHandler,
    keys?: keyTypes.IKeyPeerHandler,
    calls?: forwardTypes.IForwardHandler,
  ) {
    this.server.addService(peer.PeerService, {
      exchange: (
        call: grpc.ServerUnaryCall<peer.ExchangeRequest, peer.ExchangeReply>,
        callback: grpc.sendUnaryData<peer.ExchangeReply>,
      ) => callback(null, handler.exchange(call.request)),
      fetchTable: (
        call: grpc.ServerUnaryCall<peer.FetchTableRequest, peer.FetchTableReply>,
        callback: grpc.sendUnaryData<peer.FetchTableReply>,
      ) => replyWhenDone(handler.fetchTable(call.request), callback),
      fetchMembers: (
        _call: grpc.ServerUnaryCall<peer.FetchMembersRequest, peer.FetchMembersReply>,
        callback: grpc.sendUnaryData<peer.FetchMembersReply>,
      ) => {
        const reply = handler.fetchMembers?.();
        if (reply === undefined) callback({ code: grpc.status.UNIMPLEMENTED });
        else replyWhenDone(reply, callback);
      },
      claimKey: toUnaryHandler(keys?.claimKey.bind(keys)),
      completeKey: toUnaryHandler(keys?.completeKey.bind(keys)),
      handOverKeys: toUnaryHandler(keys?.handOverKeys.bind(keys)),
      forward: toForwardHandler(calls),
    });
  }

  public listen(address: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.bindAsync(address, grpc.ServerCredentials.createInsecure(), (error) => {
        if (error === null) resolve();
        else reject(error);
      });
    });
  }

  /** Serves a connection that was accepted elsewhere. */
  public receive(socket: net.Socket): void {
    this.injector.injectConnection(socket);
  }

  public close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.tryShutdown(() => resolve());
    });
  }

  /** Stops immediately, without waiting for calls in progress. */
  public dispose(): void {
    this.server.forceShutdown();
  }
}
