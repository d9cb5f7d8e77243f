import * as grpc from '@grpc/grpc-js';

import type * as keyTypes from '../keys/Types';
import * as peer from './generated/peer';

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

/** Receives the messages of peers. */
export class PeerServer {
  private readonly server = new grpc.Server();

  /** @param keys Handler of messages about request keys. Without it, they fail as unimplemented. */
  public constructor(handler: IPeerHandler, keys?: keyTypes.IKeyPeerHandler) {
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
