import * as grpc from '@grpc/grpc-js';

import * as peer from './generated/peer';

/** What a daemon does with the messages of its peers. */
export interface IPeerHandler {
  exchange(request: peer.ExchangeRequest): peer.ExchangeReply;
  fetchTable(request: peer.FetchTableRequest): Promise<peer.FetchTableReply>;
}

/** Receives the messages of peers. */
export class PeerServer {
  private readonly server = new grpc.Server();

  public constructor(handler: IPeerHandler) {
    const unimplemented: grpc.handleUnaryCall<unknown, never> = (_call, callback) =>
      callback({ code: grpc.status.UNIMPLEMENTED });
    this.server.addService(peer.PeerService, {
      exchange: (
        call: grpc.ServerUnaryCall<peer.ExchangeRequest, peer.ExchangeReply>,
        callback: grpc.sendUnaryData<peer.ExchangeReply>,
      ) => callback(null, handler.exchange(call.request)),
      fetchTable: (
        call: grpc.ServerUnaryCall<peer.FetchTableRequest, peer.FetchTableReply>,
        callback: grpc.sendUnaryData<peer.FetchTableReply>,
      ) => {
        handler.fetchTable(call.request).then(
          (reply) => callback(null, reply),
          (error: Error) => callback({ code: grpc.status.INTERNAL, details: error.message }),
        );
      },
      claimKey: unimplemented,
      completeKey: unimplemented,
      handOverKeys: unimplemented,
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

  /** Stops at once, without waiting for calls in progress. */
  public dispose(): void {
    this.server.forceShutdown();
  }
}
